#pragma once

#include "adapters/http/HttpClient.h"

namespace papayafield::adapters::http {

/// Sends `aRequest` on a loop of its own and waits for the whole answer. For command-line programs
/// and tests; thread safe.
tl::expected<HttpAnswer, TransferFault> FetchBlocking(HttpRequest aRequest);

/// As FetchBlocking, but hands over each part of the body as it comes; `aOnPart` returns false to
/// hang up at once, which gives the answer so far.
tl::expected<HttpAnswer, TransferFault> StreamBlocking(
  HttpRequest aRequest,
  const std::function<bool(std::string_view aPart)>& aOnPart);

} // namespace papayafield::adapters::http
