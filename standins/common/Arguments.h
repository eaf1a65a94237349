#pragma once

#include "base/Ids.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <map>
#include <string>
#include <vector>

namespace papayafield::standins {

/// Command-line options of a stand-in. Each option takes a value and has a default.
class Arguments {
public:
  /// Parses `--name value` for each name in `aDefaults`. Exits with status 2 on an unknown option.
  Arguments(int aCount, char** aValues, std::map<std::string, std::string> aDefaults)
    : m_values(std::move(aDefaults)) {
    std::vector<option> options;
    for (const auto& [name, value] : m_values) {
      options.push_back({ name.c_str(), required_argument, nullptr, 0 });
    }
    options.push_back({ nullptr, 0, nullptr, 0 });
    int index = 0;
    for (int parsed = 0;
         (parsed = getopt_long(aCount, aValues, "", options.data(), &index)) != -1;) {
      if (parsed != 0) {
        std::exit(2);
      }
      m_values[options[static_cast<size_t>(index)].name] = optarg;
    }
  }

  /// Returns the value of `aName` as text.
  const std::string& Text(const std::string& aName) const { return m_values.at(aName); }
  /// Returns the value of `aName` as a number.
  double Number(const std::string& aName) const { return std::atof(Text(aName).c_str()); }
  /// Returns the value of `aName` as an address.
  base::Address Address(const std::string& aName) const {
    return base::Address::Parse(Text(aName));
  }

private:
  std::map<std::string, std::string> m_values;
};

} // namespace papayafield::standins
