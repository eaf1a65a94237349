#pragma once

#include "base/Time.h"
#include "claims/ClaimLedger.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayafield::claims {

/// Request for a claim.
struct ClaimOrder {
  std::string m_key;
  base::IncarnationId m_owner;
  uint64_t m_number = 0;
};

/// Result of a claim order.
enum class ClaimState {
  /// The key-value service holds the claim with the owner and number of the order.
  Granted,
  /// The key-value service holds another claim of the key.
  Held,
  /// The key-value service cannot be reached; it may or may not hold the claim.
  Unavailable,
};

/// Reply to a claim order.
struct ClaimReply {
  ClaimOrder m_order;
  ClaimState m_state = ClaimState::Unavailable;
  /// The claim that the service holds, if the state is Held.
  ClaimRecord m_holder;
};

/// An operation that a writer requests from the key-value service.
struct StoreAction {
  enum class Kind { Read, Write, Remove };
  Kind m_kind = Kind::Read;
  std::string m_name;
  std::string m_value;
  /// Version that the key must have for a write; 0 if it must not exist.
  uint64_t m_expected = 0;
};

/// Outcome of a store action.
enum class StoreOutcome { Done, Conflict, Unavailable, Ambiguous };

/// Result of a store action.
struct StoreResult {
  StoreOutcome m_outcome = StoreOutcome::Unavailable;
  /// Value that was read.
  std::string m_value;
  /// Version that was read or written.
  uint64_t m_version = 0;
};

/// Parameters of a shard writer.
struct ShardWriterSettings {
  /// Time to collect orders that are then written together.
  base::Millis m_batchPeriod{ 10 };
  /// Size in bytes above which the head is sealed.
  size_t m_maxHeadBytes = 32ULL << 10;
  /// Time in seconds for which a claim is kept.
  int64_t m_retentionSeconds = 24LL * 3600;
};

/// Writes the claims of one shard, and batches the orders of many clients into one
/// compare-and-swap. Two concurrent writers of one shard are safe, since only one of their swaps
/// succeeds. Does no I/O: it returns actions and receives their results. Not thread safe.
class ShardWriter {
public:
  /// Creates a writer of the shard whose head is stored under the key `aName`.
  ShardWriter(std::string aName, ShardWriterSettings aSettings);

  /// Queues an order.
  void QueueOrder(ClaimOrder aOrder, base::TimePoint aNow);
  /// Records that the call of `aKey` has run. The mark is stored with the next write that is due,
  /// or after a delay if no other write is due before.
  void QueueDoneMark(std::string aKey, base::TimePoint aNow);
  /// Returns the next action, if one is due. Returns no other action before OnResult() is called.
  std::optional<StoreAction> NextAction(base::TimePoint aNow, int64_t aWallSeconds);
  /// Processes the result of the last action.
  void OnResult(const StoreResult& aResult);
  /// Returns whether anything waits to be written.
  bool HasPendingWrites() const {
    return !m_pendingOrders.empty() || !m_pendingDone.empty() || m_headAfterSeal.has_value();
  }
  /// Returns and removes the replies that are ready.
  std::vector<ClaimReply> TakeReplies();
  /// Sets the retention in seconds of claims that are written from now on.
  void SetRetention(int64_t aSeconds) { m_settings.m_retentionSeconds = aSeconds; }

private:
  enum class Step { Idle, ReadingHead, ReadingSegment, WritingHead, WritingSegment, Removing };

  std::optional<StoreAction> NextRead();
  std::optional<StoreAction> NextWrite(int64_t aWallSeconds);
  void OnHeadRead(const StoreResult& aResult);
  void OnSegmentRead(const StoreResult& aResult);
  void OnHeadWritten(const StoreResult& aResult);
  void FailPendingOrders();
  const ClaimRecord* FindClaim(const std::string& aKey) const;
  StoreAction MakeRead(const std::string& aName) const;

  std::string m_name;
  ShardWriterSettings m_settings;
  Step m_step = Step::Idle;
  /// Whether m_head and m_version are the last known state of the head in the service.
  bool m_headIsKnown = false;
  ClaimLedger m_head;
  uint64_t m_version = 0;
  /// Claims of sealed segments, by segment name.
  std::unordered_map<std::string, std::unordered_map<std::string, ClaimRecord>> m_sealedClaims;
  std::string m_currentSegment;
  /// The head without the claims of the segment that is being sealed; set from the write of the
  /// segment until the write of the head ends.
  std::optional<ClaimLedger> m_headAfterSeal;
  std::deque<ClaimOrder> m_pendingOrders;
  base::TimePoint m_batchDue{};
  std::vector<std::string> m_pendingDone;
  base::TimePoint m_doneDue{};
  /// Contents of the head write in progress.
  ClaimLedger m_newHead;
  std::vector<ClaimOrder> m_ordersInFlight;
  std::vector<std::string> m_doneInFlight;
  std::vector<std::string> m_segmentsToRemove;
  std::vector<ClaimReply> m_replies;
};

} // namespace papayafield::claims
