#include "papayafieldctl/Commands.h"

#include <csignal>
#include <cstdio>

/// \file
/// Command line client for operators: parses the command line and runs one command.

namespace {

using namespace papayafield::papayafieldctl;

ExitCode RunCommand(const Options& aOptions) {
  const NodeClient client(aOptions);
  if (aOptions.m_command == "validate") {
    return Validate(aOptions);
  }
  if (aOptions.m_command == "apply") {
    return Apply(aOptions, client);
  }
  if (aOptions.m_command == "status") {
    return Status(aOptions, client);
  }
  if (aOptions.m_command == "manifest") {
    return ShowManifest(aOptions, client);
  }
  if (aOptions.m_command == "timeline") {
    return Timeline(aOptions, client);
  }
  if (aOptions.m_command == "drain") {
    return Drain(aOptions, client);
  }
  if (aOptions.m_command == "explain") {
    return Explain(aOptions, client);
  }
  if (aOptions.m_command == "version") {
    std::puts("papayafieldctl " PAPAYAFIELD_VERSION);
    return ExitCode::Done;
  }
  std::fprintf(
    stderr, "papayafieldctl: unknown command '%s'; see --help\n", aOptions.m_command.c_str());
  return ExitCode::Usage;
}

} // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  if (const auto code = ReadOptions(argc, argv, options)) {
    return static_cast<int>(*code);
  }
  return static_cast<int>(RunCommand(options));
}
