#pragma once

#include "base/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::papayafieldctl {

/// Exit codes of the program.
enum class ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Findings = 3,
  Conflict = 4,
  Unknown = 5,
  Unreachable = 6,
};

/// The parsed command line.
struct Options {
  /// validate, apply, status, manifest, timeline, drain, explain or version.
  std::string m_command;
  /// The file given after the command; empty if there is none.
  std::string m_file;
  /// Nodes to call; the first that answers is used.
  std::vector<base::Address> m_nodes;
  /// The operator's key.
  std::string m_key;
  /// Whether to print JSON.
  bool m_json = false;
  /// Whether apply waits until the change is active on each node.
  bool m_wait = false;
  /// Time limit of that wait.
  int m_waitSeconds = 30;
  /// Seconds that a node has to drain; no limit if absent.
  std::optional<int> m_drainSeconds;
  /// Generation that an apply is based on; the current one if absent.
  std::optional<uint64_t> m_baseGeneration;
  /// Id of an apply; a random one is generated if empty.
  std::string m_applyId;
  /// Name of the person who applies the change.
  std::string m_setBy;
  /// Filters of the timeline; empty means no filter.
  std::string m_requestFilter;
  std::string m_subjectFilter;
  /// The call to explain; empty members are left out of the query.
  std::string m_callHost;
  std::string m_callPath;
  std::string m_callMethod;
  std::string m_callTeam;
  std::string m_callParts;
  std::string m_callTokens;
};

/// Parses the command line. Returns an exit code if the program must exit immediately.
std::optional<ExitCode> ReadOptions(int aCount, char** aValues, Options& aOptions);

} // namespace papayafield::papayafieldctl
