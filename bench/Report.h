#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace papayafield::bench {

/// A table of results that can be printed as text or converted to JSON. Not thread safe.
class Report {
public:
  /// Creates a table; the column names are also the keys of the JSON rows.
  Report(std::string aTitle, std::vector<std::string> aColumns);

  /// Adds a row with one number or text per column.
  void AddRow(std::vector<nlohmann::json> aRow);
  /// Prints the table to stdout.
  void Print() const;
  /// Returns the table as JSON: its title and a list of row objects.
  nlohmann::json ToJson() const;

private:
  std::string m_title;
  std::vector<std::string> m_columns;
  std::vector<std::vector<nlohmann::json>> m_rows;
};

/// Returns `aValue` rounded to `aDigits` decimal places.
double Rounded(double aValue, int aDigits);

/// Returns the quantile `aQuantile`, from 0 to 1, of `aValues`; 0 if there are none.
double Quantile(std::vector<double> aValues, double aQuantile);

} // namespace papayafield::bench
