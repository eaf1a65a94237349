#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace papayafield::base {

/// Limit of a BufferBudget.
struct BufferBudgetSettings {
  /// Maximum number of bytes that all buffers hold together.
  size_t m_maxBytes = 64U << 20U;
};

/// What a buffer holds, which decides when it is dropped.
enum class BufferKind {
  /// An answer, or a part of one that its reader has not taken.
  Answer,
  /// A request that has not been received completely. Dropped before anything else.
  IncompleteRequest,
};

/// Limits the bytes that buffers hold together, whatever each of them may hold. Each buffer has a
/// claim, and each claim an owner: the peer that sends the bytes or does not take them. When the
/// limit is exceeded, incomplete requests are dropped first, the one first whose buffer has not
/// grown for the longest time. Requests hold three quarters of the limit at most, so that a part is
/// left for answers. Then answers of the owner that holds the most are dropped until the rest fits:
/// the ones whose loss is repaired elsewhere before the others, and larger ones first. The buffers
/// of other owners are kept. Pinned requests are never dropped, and an incomplete request that is
/// alone may exceed the limit. Not thread safe.
class BufferBudget {
public:
  /// A buffer that may be dropped.
  struct BufferInfo {
    /// Name of the peer that is accountable for its size.
    std::string m_owner;
    /// Whether its contents can be had again, for instance by a retry.
    bool m_isReplaceable = false;
    /// Called when the buffer has to be freed at once. May destroy the claim.
    std::function<void()> m_onDropped;
    BufferKind m_kind = BufferKind::Answer;
  };
  /// A buffer's share of the budget. Gives it back when destroyed, also after the budget. Not
  /// thread safe.
  class Claim {
  public:
    ~Claim();
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;
    Claim(Claim&& aOther) noexcept = default;
    Claim& operator=(Claim&&) = delete;

    /// Sets the size of the buffer to `aBytes`; call it before the buffer grows. May drop other
    /// buffers. Returns false if this buffer was dropped, now or before.
    bool Resize(size_t aBytes);
    /// Protects the buffer of a request that is now complete. Must not be called for an answer.
    void Pin();

  private:
    friend class BufferBudget;
    struct Entry;

    Claim(std::shared_ptr<Entry> aEntry);

    std::shared_ptr<Entry> m_entry;
  };

  /// Creates a budget without claims.
  explicit BufferBudget(BufferBudgetSettings aSettings);

  /// Returns a claim for an empty buffer.
  Claim Open(BufferInfo aInfo);
  /// Returns the number of bytes that all buffers hold.
  size_t UsedBytes() const;
  /// Returns the maximum number of bytes that all buffers hold.
  size_t MaxBytes() const;
  /// Returns the number of incomplete requests dropped so far.
  uint64_t RequestDropCount() const;
  /// Returns the number of buffers dropped so far.
  uint64_t DropCount() const;

private:
  struct State;

  std::shared_ptr<State> m_state;
};

} // namespace papayafield::base
