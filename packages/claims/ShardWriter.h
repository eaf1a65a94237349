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

/// Asks for a claim.
struct ClaimOrder {
  std::string m_key;
  base::IncarnationId m_owner;
  uint64_t m_number = 0;
};

/// What the ledger says to an order.
enum class ClaimState {
  /// The claim stands in the service under the asker's owner and number.
  Granted,
  /// Another claim of the key stands in the service.
  Held,
  /// The service cannot be reached; the claim may or may not stand in it.
  Unavailable,
};

/// The answer to an order.
struct ClaimReply {
  ClaimOrder m_order;
  ClaimState m_state = ClaimState::Unavailable;
  /// The claim that stands, when the state is Held.
  ClaimRecord m_holder;
};

/// What a writer wants done at the key-value service.
struct StoreAction {
  enum class Kind { Read, Write, Remove };
  Kind m_kind = Kind::Read;
  std::string m_name;
  std::string m_value;
  /// Version that the key must have.
  uint64_t m_expected = 0;
};

/// How an action went.
enum class StoreOutcome { Done, Conflict, Unavailable, Ambiguous };

/// What came of an action.
struct StoreResult {
  StoreOutcome m_outcome = StoreOutcome::Unavailable;
  /// Value and version read, or the version written.
  std::string m_value;
  uint64_t m_version = 0;
};

/// How a writer works.
struct ShardWriterSettings {
  /// Orders gather this long before they are written together.
  base::Millis m_batchPeriod{ 10 };
  /// A head of more bytes is sealed.
  size_t m_sealBytes = 32ULL << 10;
  /// How long a claim is remembered, in seconds.
  int64_t m_retention = 24LL * 3600;
};

/// Writes the claims of one shard, those of many askers in one compare-and-swap. Two writers of one
/// shard at once are safe, since the swap decides. Pure: actions come out, results go in. Not
/// thread safe.
class ShardWriter {
public:
  /// Writes the shard whose head has the key `aName`.
  ShardWriter(std::string aName, ShardWriterSettings aSettings);

  /// Takes an order.
  void Ask(ClaimOrder aOrder, base::TimePoint aNow);
  /// The claim of `aKey` has run; noted with the next write that is due anyway, or after a while.
  void NoteDone(std::string aKey, base::TimePoint aNow);
  /// The next action, if one is due; its result must come before the next one is given.
  std::optional<StoreAction> Next(base::TimePoint aNow, int64_t aWallSeconds);
  /// The result of the last action.
  void OnResult(const StoreResult& aResult);
  /// Whether anything waits to be written.
  bool Waiting() const { return !m_waiting.empty() || !m_done.empty() || m_afterSeal.has_value(); }
  /// Takes the replies that are ready.
  std::vector<ClaimReply> TakeReplies();
  /// Sets the retention of claims made from now on, in seconds.
  void SetRetention(int64_t aSeconds) { m_settings.m_retention = aSeconds; }

private:
  enum class Step { Idle, ReadingHead, ReadingSegment, WritingHead, WritingSegment, Removing };

  std::optional<StoreAction> NextRead();
  std::optional<StoreAction> NextWrite(int64_t aWallSeconds);
  void OnHeadRead(const StoreResult& aResult);
  void OnSegmentRead(const StoreResult& aResult);
  void OnHeadWritten(const StoreResult& aResult);
  void FailAll();
  const ClaimRecord* FindAnywhere(const std::string& aKey) const;
  StoreAction MakeRead(const std::string& aName) const;

  std::string m_name;
  ShardWriterSettings m_settings;
  Step m_step = Step::Idle;
  /// Whether m_head is what the service last showed.
  bool m_known = false;
  ClaimLedger m_head;
  uint64_t m_version = 0;
  /// Claims of sealed segments, by segment.
  std::unordered_map<std::string, std::unordered_map<std::string, ClaimRecord>> m_sealed;
  std::string m_segment;
  /// Set after a segment was written: the head without the claims sealed in it.
  std::optional<ClaimLedger> m_afterSeal;
  std::deque<ClaimOrder> m_waiting;
  base::TimePoint m_due{};
  std::vector<std::string> m_done;
  base::TimePoint m_doneDue{};
  /// What the head write under way holds.
  ClaimLedger m_next;
  std::vector<ClaimOrder> m_writing;
  std::vector<std::string> m_writingDone;
  std::vector<std::string> m_toRemove;
  std::vector<ClaimReply> m_replies;
};

} // namespace papayafield::claims
