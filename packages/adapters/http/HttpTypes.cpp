#include "adapters/http/HttpTypes.h"

#include <strings.h>

namespace papayafield::adapters::http {

std::optional<std::string> Headers::Find(std::string_view aName) const {
  for (const Header& line : m_lines) {
    if (line.m_name.size() == aName.size() &&
        strncasecmp(line.m_name.data(), aName.data(), aName.size()) == 0) {
      return line.m_value;
    }
  }
  return std::nullopt;
}

} // namespace papayafield::adapters::http
