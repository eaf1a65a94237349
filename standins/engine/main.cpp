#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"
#include "standins/engine/Engine.h"

/// \file
/// Stand-in for a model engine; see `Engine`.

int main(int argc, char** argv) {
  using namespace papayafield;
  const standins::Arguments arguments(argc,
                                      argv,
                                      { { "listen", "127.0.0.1:7100" },
                                        { "slots", "8" },
                                        { "prefill-rate", "8000" },
                                        { "token-ms", "20" },
                                        { "slowdown", "0.02" },
                                        { "cache-blocks", "4096" },
                                        { "load-lag-ms", "100" },
                                        { "export-ms", "20" },
                                        { "answer-tokens", "40" },
                                        { "checks-fencing", "1" },
                                        { "load-ms", "200" } });
  standins::EngineSettings settings;
  settings.m_slots = static_cast<uint32_t>(arguments.Number("slots"));
  settings.m_prefillRate = arguments.Number("prefill-rate");
  settings.m_tokenMs = arguments.Number("token-ms");
  settings.m_slowdown = arguments.Number("slowdown");
  settings.m_cacheBlocks = static_cast<size_t>(arguments.Number("cache-blocks"));
  settings.m_loadLag = base::Millis(static_cast<int64_t>(arguments.Number("load-lag-ms")));
  settings.m_exportTime = base::Millis(static_cast<int64_t>(arguments.Number("export-ms")));
  settings.m_answerTokens = static_cast<uint64_t>(arguments.Number("answer-tokens"));
  settings.m_checksFencing = arguments.Number("checks-fencing") != 0;
  settings.m_loadTime = base::Millis(static_cast<int64_t>(arguments.Number("load-ms")));
  adapters::http::EventLoop loop;
  standins::Engine engine(loop, settings);
  const bool served = standins::Serve(
    loop, arguments.Address("listen"), [&](const adapters::http::ExchangePtr& aExchange) {
      engine.Handle(aExchange);
    });
  return served ? 0 : 1;
}
