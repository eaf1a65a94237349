#pragma once

#include "manifest/Manifest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace papayafield::tasks {

/// One accepted version of the configuration.
struct Configuration {
  /// Increases by one with each accepted change; 0 if there is no configuration yet.
  uint64_t m_generation = 0;
  /// Client-chosen id of the apply that made this version; identifies a retried apply.
  std::string m_applyId;
  /// Operator who applied it.
  std::string m_setBy;
  /// Source text of the manifest as the operator wrote it.
  std::string m_text;
  /// The parsed manifest.
  std::shared_ptr<const manifest::Manifest> m_manifest;
};

/// Parses a configuration from its value in the key-value service. Returns nullopt if it is
/// malformed. Thread safe.
std::optional<Configuration> ParseConfiguration(const std::string& aText);

/// Serializes `aConfiguration` to its value in the key-value service. Thread safe.
std::string SerializeConfiguration(const Configuration& aConfiguration);

} // namespace papayafield::tasks
