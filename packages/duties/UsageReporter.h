#pragma once

#include "base/Json.h"
#include "base/Log.h"
#include "duties/LeaderPlatformPort.h"
#include "duties/UsageLedger.h"
#include "duties/UsageRecord.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace papayafield::duties {

/// Parameters of usage reporting.
struct UsageReporterSettings {
  /// Store key that holds the latest reports.
  std::string m_key;
  /// Time after the end of a window in which counts of its last calls still arrive.
  base::Millis m_countSettleTime{ 800 };
  /// Maximum time after the end of a window to wait for the counts of a silent node.
  base::Millis m_maxCountWait{ 6000 };
  /// Time after the end of a window at which its report is overdue and no longer sent.
  base::Millis m_reportDeadline{ 10000 };
};

/// Reports the usage of each window exactly once. A report is first written to the store with a
/// compare-and-swap, and only reports read back from the store are sent, so that a later leader can
/// repeat a report but never contradict it. Used on the event loop thread only.
template<store::StorePort Store, LeaderPlatformPort Platform>
class UsageReporter {
public:
  /// Returns whether the counts of all nodes are known up to a wall time in milliseconds.
  using CountsKnownPredicate = std::function<bool(int64_t aWallMs)>;

  UsageReporter(Store& aStore,
                Platform& aPlatform,
                const sync::StoreReplica& aReplica,
                UsageLedger& aLedger,
                UsageReporterSettings aSettings,
                CountsKnownPredicate aAreCountsKnown,
                std::function<void(FencingToken)> aOnFenced)
    : m_store(aStore)
    , m_platform(aPlatform)
    , m_replica(aReplica)
    , m_ledger(aLedger)
    , m_settings(std::move(aSettings))
    , m_areCountsKnown(std::move(aAreCountsKnown))
    , m_onFenced(std::move(aOnFenced)) {}

  /// Sends or writes the next report that is due. Called several times a second while this node is
  /// the leader.
  void Tick(const Leadership& aLeadership) {
    if (m_callInFlight) {
      return;
    }
    if (m_fencingToken != aLeadership.m_token) {
      m_fencingToken = aLeadership.m_token;
      m_acceptedWindows.clear();
    }
    const int64_t now = base::WallMillis();
    m_ledger.RemoveWindowsBefore(m_ledger.WindowOf(now) - kMaxStoredWindows);
    const Reports reports = ReadStoredReports(now);
    if (SendNextReport(reports, now, aLeadership)) {
      return;
    }
    WriteNextReport(reports, now);
  }

private:
  using Reports = UsageReports;
  /// Number of windows in the stored record; older windows can no longer be reported.
  static constexpr int64_t kMaxStoredWindows = 4;
  /// Number of windows by which the clock of the node that wrote the record may be ahead of this
  /// node's. A report that was dropped as wrong would be written again with other counts.
  static constexpr int64_t kMaxClockLeadWindows = 12;

  Reports ReadStoredReports(int64_t aNow) const {
    const store::Item* item = m_replica.Find(m_settings.m_key);
    if (item == nullptr) {
      return {};
    }
    auto reports = ParseUsageReports(item->m_data, m_ledger.WindowOf(aNow) + kMaxClockLeadWindows);
    if (!reports) {
      m_log.Event("usage record unreadable", { { "revision", item->m_position.m_revision } });
      return {};
    }
    return std::move(*reports);
  }

  /// Sends the oldest report that was not yet accepted under the present fencing token. Returns
  /// false if there is none.
  bool SendNextReport(const Reports& aReports, int64_t aNow, const Leadership& aLeadership) {
    for (const auto& [window, counts] : aReports) {
      if (m_acceptedWindows.contains(window) ||
          aNow > m_ledger.WindowEndMs(window) + m_settings.m_reportDeadline.count()) {
        continue;
      }
      m_callInFlight = true;
      m_platform.ReportUsage(
        window,
        counts,
        aLeadership,
        [this, token = aLeadership.m_token, window = window](PlatformCallOutcome aOutcome) {
          m_callInFlight = false;
          m_log.Event(
            "usage sent",
            { { "window", window }, { "fence", token }, { "outcome", base::NameOf(aOutcome) } });
          if (aOutcome == PlatformCallOutcome::Accepted) {
            m_acceptedWindows[window] = true;
          } else if (aOutcome == PlatformCallOutcome::Conflict) {
            m_onFenced(token);
          }
        });
      return true;
    }
    return false;
  }

  bool IsWindowComplete(int64_t aWindow, int64_t aNow) const {
    const int64_t settled = m_ledger.WindowEndMs(aWindow) + m_settings.m_countSettleTime.count();
    return aNow >= settled &&
           (m_areCountsKnown(settled) ||
            aNow >= m_ledger.WindowEndMs(aWindow) + m_settings.m_maxCountWait.count());
  }

  /// Writes the report of the oldest complete window that has no report in the store.
  void WriteNextReport(Reports aReports, int64_t aNow) {
    const int64_t current = m_ledger.WindowOf(aNow);
    const int64_t last = aReports.empty() ? current - kMaxStoredWindows : aReports.rbegin()->first;
    for (int64_t window = std::max(last + 1, current - kMaxStoredWindows); window < current;
         ++window) {
      if (!IsWindowComplete(window, aNow)) {
        return;
      }
      const UsageLedger::Counts counts = m_ledger.TotalCounts(window);
      if (counts.empty()) {
        continue;
      }
      aReports[window] = counts;
      while (static_cast<int64_t>(aReports.size()) > kMaxStoredWindows) {
        aReports.erase(aReports.begin());
      }
      Commit(aReports, window);
      return;
    }
  }

  void Commit(const Reports& aReports, int64_t aWindow) {
    nlohmann::json record = nlohmann::json::array();
    for (const auto& [window, counts] : aReports) {
      nlohmann::json report = nlohmann::json::object();
      for (const auto& [team, count] : counts) {
        report[team.Text()] = count;
      }
      record.push_back({ { "window", window }, { "counts", report } });
    }
    const store::Item* item = m_replica.Find(m_settings.m_key);
    store::Transaction transaction;
    transaction.m_expected[m_settings.m_key] = item == nullptr ? 0 : item->m_position.m_revision;
    transaction.m_writes.push_back({ m_settings.m_key, base::DumpJson(record), 0 });
    m_callInFlight = true;
    m_store.Commit(transaction, [this, aWindow](store::Result<store::Position> aResult) {
      m_callInFlight = false;
      // The watch delivers the written record, whichever node wrote it; Tick() then sends it.
      m_log.Event("usage written",
                  { { "window", aWindow },
                    { "outcome", aResult ? "written" : base::NameOf(aResult.error()) } });
    });
  }

  Store& m_store;
  Platform& m_platform;
  const sync::StoreReplica& m_replica;
  UsageLedger& m_ledger;
  UsageReporterSettings m_settings;
  CountsKnownPredicate m_areCountsKnown;
  std::function<void(FencingToken)> m_onFenced;
  const base::Log m_log{ "usage" };
  std::optional<FencingToken> m_fencingToken;
  std::map<int64_t, bool> m_acceptedWindows;
  bool m_callInFlight = false;
};

} // namespace papayafield::duties
