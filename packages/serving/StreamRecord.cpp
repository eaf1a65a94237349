#include "serving/StreamRecord.h"

#include "base/Json.h"

#include <charconv>
#include <cstdio>
#include <map>

namespace papayafield::serving {

namespace {

constexpr size_t kDigits = 16;
constexpr int kHexadecimal = 16;

} // namespace

std::string EncodeStreamRecord(const std::vector<fleet::StreamOrigin>& aOrigins) {
  std::map<std::string, std::string> keys;
  for (const fleet::StreamOrigin& origin : aOrigins) {
    char text[kDigits + 1];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(origin.m_stream));
    keys[origin.m_version] += text;
  }
  return base::DumpJson(nlohmann::json(keys));
}

std::vector<fleet::StreamOrigin> DecodeStreamRecord(const std::string& aData) {
  std::vector<fleet::StreamOrigin> origins;
  const nlohmann::json record = base::ParseJson(aData);
  if (!record.is_object()) {
    return origins;
  }
  for (const auto& [version, keys] : record.items()) {
    const std::string text = keys.is_string() ? keys.get<std::string>() : std::string();
    for (size_t first = 0; first + kDigits <= text.size(); first += kDigits) {
      const char* end = text.data() + first + kDigits;
      fleet::StreamKey key = 0;
      const auto [last, error] = std::from_chars(text.data() + first, end, key, kHexadecimal);
      if (error == std::errc() && last == end) {
        origins.push_back({ key, version });
      }
    }
  }
  return origins;
}

} // namespace papayafield::serving
