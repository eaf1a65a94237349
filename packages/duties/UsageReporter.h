#pragma once

#include "base/Json.h"
#include "base/Log.h"
#include "duties/DutyPort.h"
#include "duties/UsageLedger.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace papayafield::duties {

/// How usage is reported.
struct ReporterSettings {
  /// The key that holds the latest reports.
  std::string m_key;
  /// Time after a window's end in which counts of its last calls still come in.
  base::Millis m_settle{ 800 };
  /// Time after a window's end until which a silent node's counts are waited for.
  base::Millis m_patience{ 6000 };
  /// Time after a window's end at which its report is due.
  base::Millis m_late{ 10000 };
};

/// Reports each window's usage exactly once. A report is first written into the store under a
/// condition, and only what stands there is sent, so that a later holder of the duties can repeat
/// it but never contradict it. Belongs to the thread of the loop.
template<store::StorePort Store, DutyPort Duties>
class UsageReporter {
public:
  /// Whether the counts of all nodes are known up to a moment of wall time.
  using CountsKnown = std::function<bool(int64_t aWallMs)>;

  UsageReporter(Store& aStore,
                Duties& aDuties,
                const sync::StoreReplica& aImage,
                UsageLedger& aLedger,
                ReporterSettings aSettings,
                CountsKnown aCountsKnown,
                std::function<void(Fence)> aOnFenced)
    : m_store(aStore)
    , m_duties(aDuties)
    , m_image(aImage)
    , m_ledger(aLedger)
    , m_settings(std::move(aSettings))
    , m_countsKnown(std::move(aCountsKnown))
    , m_onFenced(std::move(aOnFenced)) {}

  /// Goes on with what is due. Called several times a second while the duties are held.
  void Tick(Fence aFence) {
    if (m_busy) {
      return;
    }
    if (m_fence != aFence) {
      m_fence = aFence;
      m_sent.clear();
    }
    const int64_t now = base::WallMillis();
    m_ledger.DropBefore(m_ledger.WindowOf(now) - kWindowsKept);
    const Reports reports = Written();
    if (SendNext(reports, now)) {
      return;
    }
    WriteNext(reports, now);
  }

private:
  using Reports = std::map<int64_t, UsageLedger::Counts>;
  /// Windows that the record holds; older ones can no longer be reported.
  static constexpr int64_t kWindowsKept = 4;

  Reports Written() const {
    Reports reports;
    const store::Item* item = m_image.Find(m_settings.m_key);
    if (item == nullptr) {
      return reports;
    }
    const nlohmann::json record = base::ParseJson(item->m_data);
    if (!record.is_array()) {
      m_log.Event("usage record unreadable", { { "revision", item->m_revision } });
      return reports;
    }
    for (const nlohmann::json& entry : record) {
      UsageLedger::Counts& report = reports[base::ValueOr<int64_t>(entry, "window", 0)];
      for (const auto& [team, count] : entry.at("counts").items()) {
        report[base::TeamId(team)] = count.template get<uint64_t>();
      }
    }
    return reports;
  }

  /// Sends the oldest report that this term has not sent; false when there is none.
  bool SendNext(const Reports& aReports, int64_t aNow) {
    for (const auto& [window, counts] : aReports) {
      if (m_sent.contains(window) || aNow > m_ledger.EndOf(window) + m_settings.m_late.count()) {
        continue;
      }
      m_busy = true;
      const Fence fence = *m_fence;
      m_duties.ReportUsage(
        window, counts, fence, [this, fence, window = window](DutyOutcome aOutcome) {
          m_busy = false;
          m_log.Event(
            "usage sent",
            { { "window", window }, { "fence", fence }, { "outcome", base::NameOf(aOutcome) } });
          if (aOutcome == DutyOutcome::Accepted) {
            m_sent[window] = true;
          } else if (aOutcome == DutyOutcome::Conflict) {
            m_onFenced(fence);
          }
        });
      return true;
    }
    return false;
  }

  bool Complete(int64_t aWindow, int64_t aNow) const {
    const int64_t settled = m_ledger.EndOf(aWindow) + m_settings.m_settle.count();
    return aNow >= settled && (m_countsKnown(settled) ||
                               aNow >= m_ledger.EndOf(aWindow) + m_settings.m_patience.count());
  }

  /// Writes the report of the oldest window that is complete and not written yet.
  void WriteNext(Reports aReports, int64_t aNow) {
    const int64_t current = m_ledger.WindowOf(aNow);
    const int64_t last = aReports.empty() ? current - kWindowsKept : aReports.rbegin()->first;
    for (int64_t window = std::max(last + 1, current - kWindowsKept); window < current; ++window) {
      if (!Complete(window, aNow)) {
        return;
      }
      const UsageLedger::Counts counts = m_ledger.Total(window);
      if (counts.empty()) {
        continue;
      }
      aReports[window] = counts;
      while (static_cast<int64_t>(aReports.size()) > kWindowsKept) {
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
    const store::Item* item = m_image.Find(m_settings.m_key);
    store::Transaction transaction;
    transaction.m_expected[m_settings.m_key] = item == nullptr ? 0 : item->m_revision;
    transaction.m_writes.push_back({ m_settings.m_key, base::DumpJson(record), 0 });
    m_busy = true;
    m_store.Commit(transaction, [this, aWindow](store::Result<uint64_t> aResult) {
      m_busy = false;
      // What was written, by whomever, comes back with the watch and is sent from there.
      m_log.Event("usage written",
                  { { "window", aWindow },
                    { "outcome", aResult ? "written" : base::NameOf(aResult.error()) } });
    });
  }

  Store& m_store;
  Duties& m_duties;
  const sync::StoreReplica& m_image;
  UsageLedger& m_ledger;
  ReporterSettings m_settings;
  CountsKnown m_countsKnown;
  std::function<void(Fence)> m_onFenced;
  const base::Log m_log{ "usage" };
  std::optional<Fence> m_fence;
  std::map<int64_t, bool> m_sent;
  bool m_busy = false;
};

} // namespace papayafield::duties
