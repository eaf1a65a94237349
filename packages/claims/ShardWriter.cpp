#include "claims/ShardWriter.h"

#include <cassert>

namespace papayafield::claims {

namespace {

/// Maximum time that done marks wait for a write that is due anyway.
constexpr base::Millis kDoneMarkDelay{ 500 };
/// Maximum number of waiting done marks. Further marks are dropped, so that a later claim of such a
/// key is told that the key is held instead of done.
constexpr size_t kMaxPendingDone = 10000;
/// Maximum assumed difference between the clocks of two nodes, in seconds.
constexpr int64_t kMaxClockSkewSeconds = 60;

} // namespace

ShardWriter::ShardWriter(std::string aName, ShardWriterSettings aSettings)
  : m_name(std::move(aName))
  , m_settings(aSettings) {}

void ShardWriter::QueueOrder(ClaimOrder aOrder, base::TimePoint aNow) {
  if (m_pendingOrders.empty()) {
    m_batchDue = aNow + m_settings.m_batchPeriod;
  }
  m_pendingOrders.push_back(std::move(aOrder));
}

void ShardWriter::QueueDoneMark(std::string aKey, base::TimePoint aNow) {
  if (m_pendingDone.size() >= kMaxPendingDone) {
    return;
  }
  if (m_pendingDone.empty()) {
    m_doneDue = aNow + kDoneMarkDelay;
  }
  m_pendingDone.push_back(std::move(aKey));
}

std::optional<StoreAction> ShardWriter::NextAction(base::TimePoint aNow, int64_t aWallSeconds) {
  if (m_step != Step::Idle) {
    return std::nullopt;
  }
  const bool due = (!m_pendingOrders.empty() && aNow >= m_batchDue) ||
                   (!m_pendingDone.empty() && aNow >= m_doneDue);
  if (!due && !m_headAfterSeal) {
    return std::nullopt;
  }
  // The whole shard must be known before a key can be regarded as free.
  if (auto read = NextRead()) {
    return read;
  }
  return NextWrite(aWallSeconds);
}

std::optional<StoreAction> ShardWriter::NextRead() {
  if (!m_headIsKnown) {
    m_step = Step::ReadingHead;
    return MakeRead(m_name);
  }
  for (const SealedSegment& segment : m_head.Segments()) {
    if (!m_sealedClaims.contains(segment.m_name)) {
      m_step = Step::ReadingSegment;
      m_currentSegment = segment.m_name;
      return MakeRead(segment.m_name);
    }
  }
  return std::nullopt;
}

StoreAction ShardWriter::MakeRead(const std::string& aName) const {
  return { StoreAction::Kind::Read, aName, "", 0 };
}

std::optional<StoreAction> ShardWriter::NextWrite(int64_t aWallSeconds) {
  if (!m_segmentsToRemove.empty()) {
    // Best effort: a segment that is not removed is never read again.
    m_step = Step::Removing;
    const std::string name = m_segmentsToRemove.back();
    m_segmentsToRemove.pop_back();
    m_sealedClaims.erase(name);
    return StoreAction{ StoreAction::Kind::Remove, name, "", 0 };
  }
  m_newHead = m_headAfterSeal ? *m_headAfterSeal : m_head;
  // A large head is sealed first. The segment is named after the version of the head, so that two
  // writers that seal the same head write the same segment.
  if (!m_headAfterSeal && m_newHead.ToText().size() > m_settings.m_maxHeadBytes) {
    m_currentSegment = m_name + "-seal-" + std::to_string(m_version);
    const std::string value = m_newHead.Seal(m_currentSegment);
    m_headAfterSeal = m_newHead;
    m_step = Step::WritingSegment;
    return StoreAction{ StoreAction::Kind::Write, m_currentSegment, value, 0 };
  }
  bool changed = m_headAfterSeal.has_value();
  for (const std::string& name : m_newHead.RemoveExpired(aWallSeconds - kMaxClockSkewSeconds)) {
    m_segmentsToRemove.push_back(name);
    changed = true;
  }
  // Claims the free keys; orders for other keys are answered with the present claim.
  while (!m_pendingOrders.empty()) {
    ClaimOrder order = std::move(m_pendingOrders.front());
    m_pendingOrders.pop_front();
    const ClaimRecord* holder = FindClaim(order.m_key);
    if (holder == nullptr) {
      holder = m_newHead.Find(order.m_key);
    }
    if (holder == nullptr) {
      m_newHead.Add({ order.m_key,
                      order.m_owner,
                      order.m_number,
                      false,
                      aWallSeconds + m_settings.m_retentionSeconds });
      m_ordersInFlight.push_back(std::move(order));
      changed = true;
    } else if (holder->m_owner == order.m_owner && holder->m_number == order.m_number) {
      m_replies.push_back({ std::move(order), ClaimState::Granted, {} });
    } else {
      m_replies.push_back({ std::move(order), ClaimState::Held, *holder });
    }
  }
  for (std::string& key : m_pendingDone) {
    changed = m_newHead.MarkDone(key) || changed;
    m_doneInFlight.push_back(std::move(key));
  }
  m_pendingDone.clear();
  if (!changed) {
    m_doneInFlight.clear();
    return std::nullopt;
  }
  m_step = Step::WritingHead;
  return StoreAction{ StoreAction::Kind::Write, m_name, m_newHead.ToText(), m_version };
}

void ShardWriter::OnResult(const StoreResult& aResult) {
  const Step step = std::exchange(m_step, Step::Idle);
  assert(step != Step::Idle);
  switch (step) {
    case Step::ReadingHead:
      OnHeadRead(aResult);
      break;
    case Step::ReadingSegment:
      OnSegmentRead(aResult);
      break;
    case Step::WritingHead:
      OnHeadWritten(aResult);
      break;
    case Step::WritingSegment:
      // A conflict means that the same segment has already been written.
      if (aResult.m_outcome != StoreOutcome::Done && aResult.m_outcome != StoreOutcome::Conflict) {
        m_headAfterSeal.reset();
        m_headIsKnown = false;
        if (aResult.m_outcome == StoreOutcome::Unavailable) {
          FailPendingOrders();
        }
      }
      break;
    case Step::Removing:
    case Step::Idle:
      break;
  }
}

void ShardWriter::OnHeadRead(const StoreResult& aResult) {
  auto ledger =
    aResult.m_outcome == StoreOutcome::Done ? ClaimLedger::Parse(aResult.m_value) : std::nullopt;
  if (!ledger) {
    FailPendingOrders();
    return;
  }
  m_head = std::move(*ledger);
  m_version = aResult.m_version;
  m_headIsKnown = true;
}

void ShardWriter::OnSegmentRead(const StoreResult& aResult) {
  const auto ledger = aResult.m_outcome == StoreOutcome::Done && aResult.m_version != 0
                        ? ClaimLedger::Parse(aResult.m_value)
                        : std::nullopt;
  if (!ledger) {
    // Another writer may have dropped the segment: restart from the head.
    m_headIsKnown = false;
    FailPendingOrders();
    return;
  }
  m_sealedClaims[m_currentSegment] = ledger->Records();
}

void ShardWriter::OnHeadWritten(const StoreResult& aResult) {
  const bool sealed = m_headAfterSeal.has_value();
  m_headAfterSeal.reset();
  if (aResult.m_outcome == StoreOutcome::Done) {
    if (sealed) {
      m_sealedClaims[m_currentSegment] = m_head.Records();
    }
    m_head = std::move(m_newHead);
    m_version = aResult.m_version;
    for (ClaimOrder& order : m_ordersInFlight) {
      m_replies.push_back({ std::move(order), ClaimState::Granted, {} });
    }
    m_ordersInFlight.clear();
    m_doneInFlight.clear();
    return;
  }
  // Reads the head again: after a conflict another writer has changed it; after a lost response the
  // claims may have been stored.
  m_headIsKnown = false;
  m_segmentsToRemove.clear();
  m_pendingDone.insert(m_pendingDone.end(), m_doneInFlight.begin(), m_doneInFlight.end());
  m_doneInFlight.clear();
  m_pendingOrders.insert(m_pendingOrders.begin(), m_ordersInFlight.begin(), m_ordersInFlight.end());
  m_ordersInFlight.clear();
  if (aResult.m_outcome == StoreOutcome::Unavailable) {
    FailPendingOrders();
  }
}

void ShardWriter::FailPendingOrders() {
  m_headIsKnown = false;
  for (ClaimOrder& order : m_pendingOrders) {
    m_replies.push_back({ std::move(order), ClaimState::Unavailable, {} });
  }
  m_pendingOrders.clear();
  m_pendingDone.clear();
}

const ClaimRecord* ShardWriter::FindClaim(const std::string& aKey) const {
  if (const ClaimRecord* record = m_head.Find(aKey)) {
    return record;
  }
  for (const auto& [name, records] : m_sealedClaims) {
    const auto found = records.find(aKey);
    if (found != records.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

std::vector<ClaimReply> ShardWriter::TakeReplies() {
  return std::exchange(m_replies, {});
}

} // namespace papayafield::claims
