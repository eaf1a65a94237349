#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Json.h"

#include <csignal>
#include <cstdio>

namespace papayafield::standins {

/// Sends a response with a JSON body.
inline void ReplyJson(const adapters::http::ExchangePtr& aExchange,
                      int aStatus,
                      const nlohmann::json& aBody) {
  aExchange->Reply(aStatus, { { "Content-Type", "application/json" } }, base::DumpJson(aBody));
}

/// Serves until SIGTERM. Returns false if the address cannot be bound.
template<class Handler>
bool Serve(adapters::http::EventLoop& aLoop, const base::Address& aListen, Handler aHandler) {
  std::signal(SIGPIPE, SIG_IGN);
  adapters::http::HttpServerSettings settings;
  settings.m_listen = aListen;
  settings.m_readTimeout = base::Millis(600000);
  adapters::http::HttpServer server(aLoop, settings, std::move(aHandler));
  if (!server.Listen()) {
    std::fprintf(stderr, "cannot listen on %s\n", aListen.ToText().c_str());
    return false;
  }
  const auto onTerm = aLoop.OnSignal(SIGTERM, [&] { aLoop.Stop(); });
  aLoop.Run();
  return true;
}

} // namespace papayafield::standins
