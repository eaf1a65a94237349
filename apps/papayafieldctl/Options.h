#pragma once

#include "base/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::papayafieldctl {

/// How the program ended, as its exit code.
enum class ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Findings = 3,
  Conflict = 4,
  Unknown = 5,
  Unreachable = 6,
};

/// What the command line asks for.
struct Options {
  /// validate, apply, status, manifest, timeline, drain or version.
  std::string m_command;
  /// The file given after the command, if any.
  std::string m_file;
  /// Nodes to speak with; the first that answers is used.
  std::vector<base::Address> m_nodes;
  /// The operator's key.
  std::string m_key;
  /// Whether to print JSON.
  bool m_json = false;
  /// Whether apply waits until the change is in force at each node.
  bool m_wait = false;
  /// How long apply waits.
  int m_waitSeconds = 30;
  /// Seconds that a node has to drain; unbounded when absent.
  std::optional<int> m_within;
  /// Generation that an apply is based on; the present one when absent.
  std::optional<uint64_t> m_base;
  /// Number of an apply; a random one when absent.
  std::string m_applyId;
  /// Who applies.
  std::string m_setBy;
  /// Filters of the time line.
  std::string m_request;
  std::string m_subject;
};

/// Reads the command line. Gives an exit code when the program is to end at once.
std::optional<ExitCode> ReadOptions(int aCount, char** aValues, Options& aOptions);

} // namespace papayafield::papayafieldctl
