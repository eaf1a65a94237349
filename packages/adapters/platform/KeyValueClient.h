#pragma once

#include "adapters/http/HttpClient.h"
#include "base/EnumNames.h"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::adapters::platform {

/// A key with its value and version.
struct KeyValueEntry {
  std::string m_key;
  std::string m_value;
  /// Increases with each change of the key; 0 means that the key is absent.
  uint64_t m_version = 0;
};

/// Why a call to the key-value service failed.
enum class KeyValueFault {
  /// The key's version differs from the expected one; nothing was changed.
  Conflict,
  /// The service rejected the call or could not be reached; nothing was changed.
  Unavailable,
  /// No response was received: a write may or may not have taken effect.
  Ambiguous,
};

/// Client of the platform's key-value service over HTTP. Each call counts against the service's
/// rate limits. Not thread safe: use it on the thread of its HTTP client only.
class KeyValueClient {
public:
  /// The entry, with version 0 if the key is absent, or the fault.
  using ReadResult = tl::expected<KeyValueEntry, KeyValueFault>;
  /// The new version, or the fault.
  using SwapResult = tl::expected<uint64_t, KeyValueFault>;

  /// Calls the service at `aService`; `aTimeout` bounds each call.
  KeyValueClient(http::HttpClient& aClient, base::Address aService, base::Millis aTimeout);

  /// Reads one key.
  void Read(const std::string& aKey, std::function<void(ReadResult)> aOnDone);
  /// Waits at most `aWait` until the key's version differs from `aVersion`, then reads the key.
  void Watch(const std::string& aKey,
             uint64_t aVersion,
             base::Millis aWait,
             std::function<void(ReadResult)> aOnDone);
  /// Reads all entries whose keys start with `aPrefix`.
  void List(const std::string& aPrefix,
            std::function<void(tl::expected<std::vector<KeyValueEntry>, KeyValueFault>)> aOnDone);
  /// Writes the key if its version is `aExpectedVersion` (0: if the key is absent). If `aLease` is
  /// not empty, the key is removed when that lease expires.
  void CompareAndSwap(const std::string& aKey,
                      std::string aValue,
                      uint64_t aExpectedVersion,
                      const std::string& aLease,
                      std::function<void(SwapResult)> aOnDone);
  /// Removes the key if its version is `aExpectedVersion`.
  void Remove(const std::string& aKey,
              uint64_t aExpectedVersion,
              std::function<void(SwapResult)> aOnDone);
  /// Creates a lease that expires `aDuration` after its last renewal. Passes the lease's id to
  /// `aOnDone`, or nullopt on failure.
  void GrantLease(base::Millis aDuration, std::function<void(std::optional<std::string>)> aOnDone);
  /// Renews a lease. Passes false to `aOnDone` if the lease has expired or the call failed.
  void RenewLease(const std::string& aLease, std::function<void(bool)> aOnDone);

  /// Returns the number of calls sent so far.
  uint64_t CallCount() const { return m_callCount; }

private:
  http::HttpRequest MakeRequest(std::string aMethod, std::string aTarget);

  http::HttpClient& m_client;
  base::Address m_serviceAddress;
  base::Millis m_timeout;
  uint64_t m_callCount = 0;
};

} // namespace papayafield::adapters::platform

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<adapters::platform::KeyValueFault> =
  std::to_array<EnumName<adapters::platform::KeyValueFault>>({
    { adapters::platform::KeyValueFault::Conflict, "conflict" },
    { adapters::platform::KeyValueFault::Unavailable, "unavailable" },
    { adapters::platform::KeyValueFault::Ambiguous, "ambiguous" },
  });

} // namespace papayafield::base
