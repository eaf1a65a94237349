#include "Report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace papayafield::bench {

namespace {

std::string ToText(const nlohmann::json& aValue) {
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

} // namespace

Report::Report(std::string aTitle, std::vector<std::string> aColumns)
  : m_title(std::move(aTitle))
  , m_columns(std::move(aColumns)) {}

void Report::AddRow(std::vector<nlohmann::json> aRow) {
  m_rows.push_back(std::move(aRow));
}

void Report::Print() const {
  std::printf("\n%s\n", m_title.c_str());
  std::vector<size_t> widths;
  for (size_t column = 0; column < m_columns.size(); ++column) {
    size_t width = m_columns[column].size();
    for (const auto& row : m_rows) {
      width = std::max(width, ToText(row[column]).size());
    }
    widths.push_back(width);
  }
  for (size_t column = 0; column < m_columns.size(); ++column) {
    std::printf("%-*s  ", static_cast<int>(widths[column]), m_columns[column].c_str());
  }
  std::puts("");
  for (const auto& row : m_rows) {
    for (size_t column = 0; column < m_columns.size(); ++column) {
      std::printf("%-*s  ", static_cast<int>(widths[column]), ToText(row[column]).c_str());
    }
    std::puts("");
  }
  std::fflush(stdout);
}

nlohmann::json Report::ToJson() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& row : m_rows) {
    nlohmann::json object;
    for (size_t column = 0; column < m_columns.size(); ++column) {
      object[m_columns[column]] = row[column];
    }
    rows.push_back(std::move(object));
  }
  return { { "title", m_title }, { "rows", rows } };
}

double Rounded(double aValue, int aDigits) {
  const double scale = std::pow(10.0, aDigits);
  return std::round(aValue * scale) / scale;
}

double Quantile(std::vector<double> aValues, double aQuantile) {
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(std::min(
    static_cast<double>(aValues.size() - 1), aQuantile * static_cast<double>(aValues.size())));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<size_t>(index)];
}

} // namespace papayafield::bench
