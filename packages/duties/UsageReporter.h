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
#include <utility>

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
  /// Time between reading a report back from the store and sending it, in which the other nodes
  /// read it as well: they keep it if the store loses it.
  base::Millis m_spreadTime{ 500 };
};

/// Reports the usage of each window exactly once. A report is first written to the store with a
/// compare-and-swap, and only reports read back from the store are sent, so that a later leader can
/// repeat a report but never contradict it. All nodes keep the reports that they have read, and
/// those that may become the leader write again what a restore of the store has undone. Used on the
/// event loop thread only.
template<store::StorePort Store,
         LeaderPlatformPort Platform,
         base::ClockPort Clock = base::BootClock>
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
                std::function<void(FencingToken)> aOnFenced,
                const Clock& aClock = {},
                std::function<int64_t()> aWallMillis = &base::WallMillis)
    : m_store(aStore)
    , m_platform(aPlatform)
    , m_replica(aReplica)
    , m_ledger(aLedger)
    , m_settings(std::move(aSettings))
    , m_maxStoredWindows(std::clamp(m_ledger.WindowOf(m_settings.m_reportDeadline.count()) + 2,
                                    kMinStoredWindows,
                                    kMaxStoredWindows))
    , m_areCountsKnown(std::move(aAreCountsKnown))
    , m_onFenced(std::move(aOnFenced))
    , m_clock(aClock)
    , m_wallMillis(std::move(aWallMillis)) {}

  /// Records that this node reads the store from the wall time `aWallMs` in milliseconds on.
  void OnLoaded(int64_t aWallMs) { m_loadedAtMs = aWallMs; }
  /// Keeps the reports of `aItem`, the record as written. Called on every node.
  void OnRecord(const store::Item& aItem) {
    const int64_t now = m_wallMillis();
    const auto reports = ParseRecord(aItem, now);
    if (!reports) {
      return;
    }
    const auto readAt = m_clock.Now();
    auto eras = ParseUsageEras(aItem.m_data);
    for (const auto& [window, counts] : *reports) {
      const auto [known, isNew] =
        m_known.try_emplace(window, KnownReport{ counts, readAt, eras[window] });
      if (!isNew && known->second.m_counts != counts && !known->second.m_disputed) {
        known->second.m_disputed = true;
        m_log.Event("usage report contradicted",
                    { { "window", window },
                      { "era", aItem.m_position.m_era },
                      { "revision", aItem.m_position.m_revision } });
      }
    }
    m_known.erase(m_known.begin(), m_known.lower_bound(OldestWindow(now)));
  }
  /// Removes counts that are too old to be reported. Called several times a second on each node,
  /// whether or not it may become the leader.
  void RemoveOldCounts() {
    const int64_t oldest = OldestWindow(m_wallMillis());
    m_ledger.RemoveWindowsBefore(oldest);
    m_acceptedWindows.erase(m_acceptedWindows.begin(), m_acceptedWindows.lower_bound(oldest));
  }
  /// Writes reports again that the store has lost in a restore. Called several times a second on
  /// each node that may become the leader, so that the next leader reads them before it reports.
  void RestoreRecord() {
    const Reports stored = ReadStoredReports(m_wallMillis());
    const Reports reports = AddKnownReports(stored);
    if (!m_callInFlight && reports != stored) {
      Commit(reports, reports.rbegin()->first, "restored");
    }
  }
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
    const int64_t now = m_wallMillis();
    m_ledger.RemoveWindowsBefore(m_ledger.WindowOf(now) - m_maxStoredWindows);
    const Reports stored = ReadStoredReports(now);
    if (SendNextReport(stored, now, aLeadership)) {
      return;
    }
    if (!WriteNextReport(AddKnownReports(stored), now)) {
      RestoreRecord();
    }
  }

private:
  using Reports = UsageReports;
  /// Limits of m_maxStoredWindows; the upper one bounds the size of the record.
  static constexpr int64_t kMinStoredWindows = 4;
  static constexpr int64_t kMaxStoredWindows = 64;
  /// Number of windows by which the clock of the node that wrote the record may be ahead of this
  /// node's. A report that was dropped as wrong would be written again with other counts.
  static constexpr int64_t kMaxClockLeadWindows = 12;

  /// A report that this node has read from the store.
  struct KnownReport {
    UsageLedger::Counts m_counts;
    base::TimePoint m_readAt;
    /// Era in which the report was first written.
    uint64_t m_era = 0;
    /// Whether the store has also shown other counts. Either may have been sent, so neither is.
    bool m_disputed = false;
  };

  /// Returns the oldest window that any node may still report at the wall time `aNow`.
  int64_t OldestWindow(int64_t aNow) const {
    return m_ledger.WindowOf(aNow) - m_maxStoredWindows - kMaxClockLeadWindows;
  }

  std::optional<Reports> ParseRecord(const store::Item& aItem, int64_t aNow) const {
    auto reports = ParseUsageReports(aItem.m_data, m_ledger.WindowOf(aNow) + kMaxClockLeadWindows);
    if (!reports) {
      m_log.Event(
        "usage record unreadable",
        { { "era", aItem.m_position.m_era }, { "revision", aItem.m_position.m_revision } });
    }
    return reports;
  }

  Reports ReadStoredReports(int64_t aNow) const {
    const store::Item* item = m_replica.Find(m_settings.m_key);
    return item == nullptr ? Reports() : ParseRecord(*item, aNow).value_or(Reports());
  }

  /// Returns the latest reports of the record and of those that this node has read before.
  Reports AddKnownReports(const Reports& aStored) const {
    Reports reports = aStored;
    for (const auto& [window, known] : m_known) {
      reports.try_emplace(window, known.m_counts);
    }
    while (static_cast<int64_t>(reports.size()) > m_maxStoredWindows) {
      reports.erase(reports.begin());
    }
    return reports;
  }

  int64_t DeadlineMs(int64_t aWindow) const {
    return m_ledger.WindowEndMs(aWindow) + m_settings.m_reportDeadline.count();
  }

  /// Returns whether the other nodes have had time to read the report, unless it would then be
  /// overdue, and none contradicts it.
  bool MaySend(int64_t aWindow, int64_t aNow) const {
    const auto known = m_known.find(aWindow);
    if (known == m_known.end() || known->second.m_disputed || aNow > DeadlineMs(aWindow)) {
      return false;
    }
    return m_clock.Now() - known->second.m_readAt >= m_settings.m_spreadTime ||
           aNow + m_settings.m_spreadTime.count() > DeadlineMs(aWindow);
  }

  /// Sends the oldest report that was not yet accepted under the present fencing token. Returns
  /// false if there is none.
  bool SendNextReport(const Reports& aReports, int64_t aNow, const Leadership& aLeadership) {
    for (const auto& [window, counts] : aReports) {
      if (m_acceptedWindows.contains(window) || !MaySend(window, aNow)) {
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

  uint64_t EraOf(int64_t aWindow) const {
    const auto known = m_known.find(aWindow);
    return known == m_known.end() ? 0 : known->second.m_era;
  }

  /// Returns whether a restore may have undone a report of `aWindow` before this node could read
  /// it. The report may have been sent, and the counts of this node may be others.
  bool MayBeForgotten(const Reports& aReports, int64_t aWindow) const {
    const uint64_t lastEra = aReports.empty() ? 0 : EraOf(aReports.rbegin()->first);
    return lastEra != m_store.LatestEra() && m_ledger.WindowEndMs(aWindow) <= m_loadedAtMs;
  }

  bool IsWindowComplete(int64_t aWindow, int64_t aNow) const {
    const int64_t settled = m_ledger.WindowEndMs(aWindow) + m_settings.m_countSettleTime.count();
    return aNow >= settled &&
           (m_areCountsKnown(settled) ||
            aNow >= m_ledger.WindowEndMs(aWindow) + m_settings.m_maxCountWait.count());
  }

  /// Writes the report of the oldest complete window that has no report. Returns false if there is
  /// none.
  bool WriteNextReport(Reports aReports, int64_t aNow) {
    const int64_t current = m_ledger.WindowOf(aNow);
    const int64_t last = aReports.empty() ? current - m_maxStoredWindows : aReports.rbegin()->first;
    for (int64_t window = std::max(last + 1, current - m_maxStoredWindows); window < current;
         ++window) {
      if (!IsWindowComplete(window, aNow)) {
        return false;
      }
      const UsageLedger::Counts counts = m_ledger.TotalCounts(window);
      if (counts.empty()) {
        continue;
      }
      if (MayBeForgotten(aReports, window)) {
        if (std::exchange(m_lastUnwritten, window) != window) {
          m_log.Event("usage report not written",
                      { { "window", window }, { "why", "may be lost in a restore" } });
        }
        continue;
      }
      aReports[window] = counts;
      while (static_cast<int64_t>(aReports.size()) > m_maxStoredWindows) {
        aReports.erase(aReports.begin());
      }
      Commit(aReports, window, "new");
      return true;
    }
    return false;
  }

  void Commit(const Reports& aReports, int64_t aWindow, const char* aCause) {
    if (m_replica.LastPosition().m_era != m_store.LatestEra()) {
      // The store compares revisions alone, and may have assigned the expected one again.
      return;
    }
    nlohmann::json record = nlohmann::json::array();
    for (const auto& [window, counts] : aReports) {
      nlohmann::json report = nlohmann::json::object();
      for (const auto& [team, count] : counts) {
        report[team.Text()] = count;
      }
      const bool isNew = window == aWindow && !m_known.contains(window);
      record.push_back({ { "window", window },
                         { "counts", report },
                         { "era", isNew ? m_store.LatestEra() : EraOf(window) } });
    }
    const store::Item* item = m_replica.Find(m_settings.m_key);
    store::Transaction transaction;
    transaction.m_expected[m_settings.m_key] = item == nullptr ? 0 : item->m_position.m_revision;
    transaction.m_writes.push_back({ m_settings.m_key, base::DumpJson(record), 0 });
    m_callInFlight = true;
    m_store.Commit(transaction, [this, aWindow, aCause](store::Result<store::Position> aResult) {
      m_callInFlight = false;
      // The watch delivers the written record, whichever node wrote it; Tick() then sends it.
      m_log.Event("usage written",
                  { { "window", aWindow },
                    { "cause", aCause },
                    { "outcome", aResult ? "written" : base::NameOf(aResult.error()) } });
    });
  }

  Store& m_store;
  Platform& m_platform;
  const sync::StoreReplica& m_replica;
  UsageLedger& m_ledger;
  UsageReporterSettings m_settings;
  /// Maximum number of windows in the stored record; older windows can no longer be reported. No
  /// window is dropped before its report is overdue, unless that is more than kMaxStoredWindows.
  const int64_t m_maxStoredWindows;
  CountsKnownPredicate m_areCountsKnown;
  std::function<void(FencingToken)> m_onFenced;
  const Clock m_clock;
  const std::function<int64_t()> m_wallMillis;
  const base::Log m_log{ "usage" };
  std::optional<FencingToken> m_fencingToken;
  /// Reports that this node has read, by window.
  std::map<int64_t, KnownReport> m_known;
  std::map<int64_t, bool> m_acceptedWindows;
  /// Wall time from which this node reads the store.
  int64_t m_loadedAtMs = 0;
  /// Latest window whose report this node did not write, because it may have been written before.
  int64_t m_lastUnwritten = -1;
  bool m_callInFlight = false;
};

} // namespace papayafield::duties
