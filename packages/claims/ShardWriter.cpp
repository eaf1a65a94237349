#include "claims/ShardWriter.h"

#include <cassert>

namespace papayafield::claims {

namespace {

/// Maximum time that done marks wait for a write that is due anyway.
constexpr base::Millis kDoneDelay{ 500 };
/// Maximum number of waiting done marks. Further marks are dropped, so that a later claim of such a
/// key is told that the key is held instead of done.
constexpr size_t kMaxDone = 10000;
/// Maximum assumed difference between the clocks of two nodes, in seconds.
constexpr int64_t kClockSlack = 60;

} // namespace

ShardWriter::ShardWriter(std::string aName, ShardWriterSettings aSettings)
  : m_name(std::move(aName))
  , m_settings(aSettings) {}

void ShardWriter::Ask(ClaimOrder aOrder, base::TimePoint aNow) {
  if (m_waiting.empty()) {
    m_due = aNow + m_settings.m_batchPeriod;
  }
  m_waiting.push_back(std::move(aOrder));
}

void ShardWriter::NoteDone(std::string aKey, base::TimePoint aNow) {
  if (m_done.size() >= kMaxDone) {
    return;
  }
  if (m_done.empty()) {
    m_doneDue = aNow + kDoneDelay;
  }
  m_done.push_back(std::move(aKey));
}

std::optional<StoreAction> ShardWriter::Next(base::TimePoint aNow, int64_t aWallSeconds) {
  if (m_step != Step::Idle) {
    return std::nullopt;
  }
  const bool due = (!m_waiting.empty() && aNow >= m_due) || (!m_done.empty() && aNow >= m_doneDue);
  if (!due && !m_afterSeal) {
    return std::nullopt;
  }
  // The whole shard must be known before a key can be regarded as free.
  if (auto read = NextRead()) {
    return read;
  }
  return NextWrite(aWallSeconds);
}

std::optional<StoreAction> ShardWriter::NextRead() {
  if (!m_known) {
    m_step = Step::ReadingHead;
    return MakeRead(m_name);
  }
  for (const SealedSegment& segment : m_head.Segments()) {
    if (!m_sealed.contains(segment.m_name)) {
      m_step = Step::ReadingSegment;
      m_segment = segment.m_name;
      return MakeRead(segment.m_name);
    }
  }
  return std::nullopt;
}

StoreAction ShardWriter::MakeRead(const std::string& aName) const {
  return { StoreAction::Kind::Read, aName, "", 0 };
}

std::optional<StoreAction> ShardWriter::NextWrite(int64_t aWallSeconds) {
  if (!m_toRemove.empty()) {
    // Best effort: a segment that is not removed is never read again.
    m_step = Step::Removing;
    const std::string name = m_toRemove.back();
    m_toRemove.pop_back();
    m_sealed.erase(name);
    return StoreAction{ StoreAction::Kind::Remove, name, "", 0 };
  }
  m_next = m_afterSeal ? *m_afterSeal : m_head;
  // A large head is sealed first. The segment is named after the version of the head, so that two
  // writers that seal the same head write the same segment.
  if (!m_afterSeal && m_next.ToText().size() > m_settings.m_sealBytes) {
    m_segment = m_name + "-seal-" + std::to_string(m_version);
    const std::string value = m_next.Seal(m_segment);
    m_afterSeal = m_next;
    m_step = Step::WritingSegment;
    return StoreAction{ StoreAction::Kind::Write, m_segment, value, 0 };
  }
  bool changed = m_afterSeal.has_value();
  for (const std::string& name : m_next.DropExpired(aWallSeconds - kClockSlack)) {
    m_toRemove.push_back(name);
    changed = true;
  }
  // Claims the free keys; orders for other keys are answered with the present claim.
  while (!m_waiting.empty()) {
    ClaimOrder order = std::move(m_waiting.front());
    m_waiting.pop_front();
    const ClaimRecord* holder = FindAnywhere(order.m_key);
    if (holder == nullptr) {
      holder = m_next.Find(order.m_key);
    }
    if (holder == nullptr) {
      m_next.Add({ order.m_key,
                   order.m_owner,
                   order.m_number,
                   false,
                   aWallSeconds + m_settings.m_retention });
      m_writing.push_back(std::move(order));
      changed = true;
    } else if (holder->m_owner == order.m_owner && holder->m_number == order.m_number) {
      m_replies.push_back({ std::move(order), ClaimState::Granted, {} });
    } else {
      m_replies.push_back({ std::move(order), ClaimState::Held, *holder });
    }
  }
  for (std::string& key : m_done) {
    changed = m_next.MarkDone(key) || changed;
    m_writingDone.push_back(std::move(key));
  }
  m_done.clear();
  if (!changed) {
    m_writingDone.clear();
    return std::nullopt;
  }
  m_step = Step::WritingHead;
  return StoreAction{ StoreAction::Kind::Write, m_name, m_next.ToText(), m_version };
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
        m_afterSeal.reset();
        m_known = false;
        if (aResult.m_outcome == StoreOutcome::Unavailable) {
          FailAll();
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
    FailAll();
    return;
  }
  m_head = std::move(*ledger);
  m_version = aResult.m_version;
  m_known = true;
}

void ShardWriter::OnSegmentRead(const StoreResult& aResult) {
  const auto ledger = aResult.m_outcome == StoreOutcome::Done && aResult.m_version != 0
                        ? ClaimLedger::Parse(aResult.m_value)
                        : std::nullopt;
  if (!ledger) {
    // Another writer may have dropped the segment: restart from the head.
    m_known = false;
    FailAll();
    return;
  }
  m_sealed[m_segment] = ledger->Records();
}

void ShardWriter::OnHeadWritten(const StoreResult& aResult) {
  const bool sealed = m_afterSeal.has_value();
  m_afterSeal.reset();
  if (aResult.m_outcome == StoreOutcome::Done) {
    if (sealed) {
      m_sealed[m_segment] = m_head.Records();
    }
    m_head = std::move(m_next);
    m_version = aResult.m_version;
    for (ClaimOrder& order : m_writing) {
      m_replies.push_back({ std::move(order), ClaimState::Granted, {} });
    }
    m_writing.clear();
    m_writingDone.clear();
    return;
  }
  // Reads the head again: after a conflict another writer has changed it; after a lost response the
  // claims may have been stored.
  m_known = false;
  m_toRemove.clear();
  m_done.insert(m_done.end(), m_writingDone.begin(), m_writingDone.end());
  m_writingDone.clear();
  m_waiting.insert(m_waiting.begin(), m_writing.begin(), m_writing.end());
  m_writing.clear();
  if (aResult.m_outcome == StoreOutcome::Unavailable) {
    FailAll();
  }
}

void ShardWriter::FailAll() {
  m_known = false;
  for (ClaimOrder& order : m_waiting) {
    m_replies.push_back({ std::move(order), ClaimState::Unavailable, {} });
  }
  m_waiting.clear();
  m_done.clear();
}

const ClaimRecord* ShardWriter::FindAnywhere(const std::string& aKey) const {
  if (const ClaimRecord* record = m_head.Find(aKey)) {
    return record;
  }
  for (const auto& [name, records] : m_sealed) {
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
