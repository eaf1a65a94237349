#include "tasks/Configuration.h"

#include "base/Json.h"

namespace papayafield::tasks {

std::optional<Configuration> ParseConfiguration(const std::string& aText) {
  const nlohmann::json value = base::ParseJson(aText);
  Configuration configuration;
  configuration.m_generation = base::ValueOr(value, "generation", uint64_t{ 0 });
  configuration.m_applyId = base::ValueOr(value, "apply_id", std::string());
  configuration.m_setBy = base::ValueOr(value, "set_by", std::string());
  configuration.m_text = base::ValueOr(value, "text", std::string());
  if (configuration.m_generation == 0) {
    return std::nullopt;
  }
  auto manifest = manifest::ParseManifest("manifest", configuration.m_text);
  if (!manifest) {
    return std::nullopt;
  }
  configuration.m_manifest = std::make_shared<const manifest::Manifest>(std::move(*manifest));
  return configuration;
}

std::string SerializeConfiguration(const Configuration& aConfiguration) {
  return base::DumpJson({ { "generation", aConfiguration.m_generation },
                          { "apply_id", aConfiguration.m_applyId },
                          { "set_by", aConfiguration.m_setBy },
                          { "text", aConfiguration.m_text } });
}

} // namespace papayafield::tasks
