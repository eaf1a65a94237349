#pragma once

#include "manifest/Manifest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace papayafield::tasks {

/// One accepted state of the configuration.
struct Configuration {
  /// Grows by one with each accepted change; 0 stands for none yet.
  uint64_t m_generation = 0;
  /// Number that the apply chose for itself.
  std::string m_applyId;
  /// Who applied it.
  std::string m_setBy;
  /// The manifest as the operator wrote it.
  std::string m_text;
  /// The manifest, read.
  std::shared_ptr<const manifest::Manifest> m_manifest;
};

/// Reads a configuration as it stands in the key-value service; nothing when it is malformed.
/// Thread safe.
std::optional<Configuration> ParseConfiguration(const std::string& aText);

/// The value that stands in the key-value service for `aConfiguration`. Thread safe.
std::string ConfigurationText(const Configuration& aConfiguration);

} // namespace papayafield::tasks
