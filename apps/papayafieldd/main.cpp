#include "adapters/peer/PeersTask.h"
#include "base/Digest.h"
#include "base/Log.h"
#include "base/Time.h"
#include "gateway/Gateway.h"
#include "node/PlatformTask.h"
#include "platform/PlatformNode.h"
#include "settings/NodeSettings.h"

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

/// \file
/// The node daemon: reads its settings, starts its tasks and runs until it has drained.

namespace {

using namespace papayafield;

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr size_t kIncarnationRandomBytes = 4;

constexpr char kHelp[] =
  "papayafieldd: a node of papayafield.\n"
  "\n"
  "Usage: papayafieldd --config FILE [--check]\n"
  "       papayafieldd --platform [--config FILE] [--metrics-port PORT] [--check]\n"
  "\n"
  "  -c, --config FILE  read the settings from FILE (TOML)\n"
  "  -p, --platform     run on the users' platform; FILE then is the platform's settings file\n"
  "                     (default: the path in PAPAYAFIELD_CONFIG)\n"
  "  -m, --metrics-port PORT  serve metrics at PORT (with --platform)\n"
  "  -k, --check        check the settings, print all findings, and exit\n"
  "  -v, --version      print the version and exit\n"
  "  -h, --help         print this help and exit\n"
  "\n"
  "Exit codes: 0 drained or checked, 1 could not serve, 2 wrong usage, 3 settings with findings.\n"
  "SIGTERM drains: requests in flight are finished first.\n";

/// The parsed command line.
struct Options {
  std::string m_config;
  bool m_check = false;
  bool m_platform = false;
  uint16_t m_metricsPort = 0;
};

/// Parses a port number; returns nullopt if `aText` is not a port.
std::optional<uint16_t> ReadPort(const char* aText) {
  const base::Address address = base::Address::Parse(std::string("host:") + aText);
  return address.m_port == 0 ? std::nullopt : std::optional(address.m_port);
}

/// Parses the command line. Returns an exit code if the process must exit immediately.
std::optional<int> ReadOptions(int aCount, char** aValues, Options& aOptions) {
  static const option kOptions[] = { { "config", required_argument, nullptr, 'c' },
                                     { "platform", no_argument, nullptr, 'p' },
                                     { "metrics-port", required_argument, nullptr, 'm' },
                                     { "check", no_argument, nullptr, 'k' },
                                     { "version", no_argument, nullptr, 'v' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  for (int flag = 0; (flag = getopt_long(aCount, aValues, "c:pm:kvh", kOptions, nullptr)) != -1;) {
    switch (flag) {
      case 'c':
        aOptions.m_config = optarg;
        break;
      case 'p':
        aOptions.m_platform = true;
        break;
      case 'm':
        if (const auto port = ReadPort(optarg)) {
          aOptions.m_metricsPort = *port;
          break;
        }
        std::fprintf(stderr, "papayafieldd: '%s' is not a port\n", optarg);
        return kExitUsage;
      case 'k':
        aOptions.m_check = true;
        break;
      case 'v':
        std::puts("papayafieldd " PAPAYAFIELD_VERSION);
        return 0;
      case 'h':
        std::fputs(kHelp, stdout);
        return 0;
      default:
        return kExitUsage;
    }
  }
  if (const char* path = std::getenv("PAPAYAFIELD_CONFIG");
      aOptions.m_platform && aOptions.m_config.empty() && path != nullptr) {
    aOptions.m_config = path;
  }
  if (aOptions.m_config.empty()) {
    std::fputs("papayafieldd: --config FILE is required; see --help\n", stderr);
    return kExitUsage;
  }
  return std::nullopt;
}

/// Creates the incarnation id of this process. Later incarnations have greater ids.
base::IncarnationId MakeIncarnation() {
  char start[17];
  std::snprintf(
    start, sizeof(start), "%012llx", static_cast<unsigned long long>(base::WallMillis()));
  return base::IncarnationId(start + base::RandomHex(kIncarnationRandomBytes));
}

tasks::Member MakeSelf(const settings::NodeSettings& aSettings,
                       const base::IncarnationId& aIncarnation) {
  tasks::Member self;
  self.m_node = aSettings.m_name;
  self.m_incarnation = aIncarnation;
  self.m_zone = aSettings.m_zone;
  self.m_callerAddress = aSettings.m_callerAddress;
  self.m_peerAddress = aSettings.m_fleet.m_peerAddress;
  return self;
}

int Serve(const settings::NodeSettings& aSettings) {
  base::StartLogging(aSettings.m_log);
  const base::Log log("node");
  const base::IncarnationId incarnation = MakeIncarnation();
  log.Info("Starting " + aSettings.m_name.Text() + ", incarnation " + incarnation.Text() + ".");
  base::Timeline timeline(aSettings.m_name, aSettings.m_timelineCapacity);
  timeline.Add(base::EventKind::NodeStarted, {}, incarnation.Text());
  tasks::Mailboxes mailboxes;
  adapters::peer::PeersTask peers(aSettings, MakeSelf(aSettings, incarnation), timeline, mailboxes);
  if (!peers.Bound()) {
    log.Error("Cannot listen on peer address " + aSettings.m_fleet.m_peerAddress.ToText() + ".");
    return 1;
  }
  node::PlatformTask platform(aSettings, incarnation, mailboxes);
  // The gateway's event loop handles signals and runs on this thread.
  gateway::Gateway gateway(aSettings, incarnation, timeline, mailboxes);
  std::thread peersThread([&] { peers.Run(); });
  std::thread platformThread([&] { platform.Run(); });
  const int code = gateway.Run();
  mailboxes.m_platform.Send(tasks::StopTask{});
  mailboxes.m_peers.Send(tasks::StopTask{});
  platformThread.join();
  peersThread.join();
  log.Info("Stopped.");
  return code;
}

/// Ends the process without the destructors of static objects: log4cplus's would wait for its
/// worker threads, and open connections would stay open until they have ended.
[[noreturn]] void Exit(int aCode) {
  std::fflush(nullptr);
  std::quick_exit(aCode);
}

} // namespace

int main(int argc, char** argv) {
  // The default action of SIGHUP would terminate a node that is notified of new settings during
  // startup.
  std::signal(SIGHUP, SIG_IGN);
  Options options;
  if (const auto code = ReadOptions(argc, argv, options)) {
    return *code;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (options.m_platform) {
    Exit(options.m_check ? platform::CheckPlatformSettings(options.m_config)
                         : platform::RunPlatformNode(options.m_config, options.m_metricsPort));
  }
  std::ifstream file(options.m_config);
  if (!file) {
    std::fprintf(stderr, "papayafieldd: cannot read %s\n", options.m_config.c_str());
    return kExitSettings;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = settings::ParseNodeSettings(options.m_config, text.str());
  if (!settings) {
    std::fputs(settings.error().ToText().c_str(), stderr);
    return kExitSettings;
  }
  if (options.m_check) {
    std::puts("The settings are fine.");
    return 0;
  }
  Exit(Serve(*settings));
}
