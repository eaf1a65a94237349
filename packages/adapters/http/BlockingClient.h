#pragma once

#include "adapters/http/HttpClient.h"

namespace papayafield::adapters::http {

/// Sends `aRequest` on an event loop of its own and blocks until the response is complete. Intended
/// for command-line programs and tests. Thread safe.
tl::expected<HttpResponse, TransferFault> FetchBlocking(HttpRequest aRequest);

/// As FetchBlocking, but also calls `aOnPart` with each part of the body as it is received. If
/// `aOnPart` returns false, the connection is closed at once and the response received so far is
/// returned. Thread safe.
tl::expected<HttpResponse, TransferFault> StreamBlocking(
  HttpRequest aRequest,
  const std::function<bool(std::string_view aPart)>& aOnPart);

} // namespace papayafield::adapters::http
