#include "ControlBench.h"
#include "FaultsBench.h"
#include "LoadBench.h"
#include "NodeBench.h"
#include "StreamsBench.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>

/// \file
/// Benchmark program with one command per area.

int main(int argc, char** argv) {
  using namespace papayafield::bench;
  std::signal(SIGPIPE, SIG_IGN);
  const std::string command = argc > 1 ? argv[1] : "";
  std::string json;
  std::string only;
  uint64_t seed = 1;
  double minutes = 1;
  for (int i = 2; i + 1 < argc; i += 2) {
    if (std::strcmp(argv[i], "--json") == 0) {
      json = argv[i + 1];
    } else if (std::strcmp(argv[i], "--only") == 0) {
      only = argv[i + 1];
    } else if (std::strcmp(argv[i], "--minutes") == 0) {
      minutes = std::atof(argv[i + 1]);
    } else if (std::strcmp(argv[i], "--seed") == 0) {
      seed = std::strtoull(argv[i + 1], nullptr, 10);
    }
  }
  std::vector<Report> reports;
  const auto measure = [&](const char* aPart, const auto& aMeasure) {
    if (only.empty() || only == aPart) {
      reports.push_back(aMeasure());
      reports.back().Print();
    }
  };
  if (command == "control") {
    measure("membership", MeasureMembership);
    measure("routing", MeasureRouting);
    measure("engines", MeasureEngines);
    measure("platform", MeasurePlatformCalls);
    measure("configuration", MeasureConfiguration);
  } else if (command == "node") {
    measure("latency", MeasureAddedLatency);
    measure("relay", MeasureRelay);
  } else if (command == "load") {
    measure("overload", [&] { return MeasureOverload(seed); });
  } else if (command == "streams") {
    measure("endless", MeasureEndlessEvents);
  } else if (command == "faults") {
    measure("faults", [&] { return RunFaults(seed, minutes); });
  } else {
    std::fputs("usage: scripts/bench control|node|load|streams|faults [--only PART] [--json FILE] "
               "[--seed N] [--minutes M]\n",
               stderr);
    return 2;
  }
  if (!json.empty()) {
    nlohmann::json all = nlohmann::json::array();
    for (const Report& report : reports) {
      all.push_back(report.ToJson());
    }
    std::ofstream(json) << all.dump(2) << "\n";
  }
  return 0;
}
