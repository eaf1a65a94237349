#include "adapters/peer/QuarantineCodec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace papayafield::adapters::peer {

namespace {

/// First line of a report. A packed Cap'n Proto message cannot begin with these bytes: they would
/// announce segments larger than a datagram.
constexpr std::string_view kMagic = "Quarantine 1\n";
/// Bounds on a report from a peer.
constexpr size_t kMaxEntries = 256;
constexpr size_t kMaxParts = 16;
constexpr size_t kMaxWordLength = 64;
/// Longer times are not meaningful and could overflow.
constexpr base::Millis kMaxTime = std::chrono::hours(24);

using Words = std::vector<std::string_view>;

/// Splits at single spaces. The result is empty if a word is empty, too long, or contains other
/// than visible ASCII characters.
Words SplitWords(std::string_view aLine) {
  Words words;
  while (true) {
    const size_t space = std::min(aLine.find(' '), aLine.size());
    const std::string_view word = aLine.substr(0, space);
    const bool valid = !word.empty() && word.size() <= kMaxWordLength &&
                       std::all_of(word.begin(), word.end(), [](char aCharacter) {
                         return aCharacter > ' ' && aCharacter < 127;
                       });
    if (!valid) {
      return {};
    }
    words.push_back(word);
    if (space == aLine.size()) {
      return words;
    }
    aLine.remove_prefix(space + 1);
  }
}

std::optional<base::Millis> ParseTime(std::string_view aWord) {
  int64_t millis = 0;
  const char* end = aWord.data() + aWord.size();
  const auto [last, fault] = std::from_chars(aWord.data(), end, millis);
  if (fault != std::errc() || last != end || millis < 0 || millis > kMaxTime.count()) {
    return std::nullopt;
  }
  return base::Millis(millis);
}

/// Adds the entry on one line to the report. Returns false if it is malformed.
bool ParseLine(const Words& aWords, quarantine::Report& aReport) {
  const auto age = aWords.size() >= 3 ? ParseTime(aWords[1]) : std::nullopt;
  if (!age) {
    return false;
  }
  if (aWords[0] == "crash" && aWords.size() >= 5 && aWords.size() <= 4 + kMaxParts) {
    aReport.m_crashes.push_back({ std::string(aWords[2]),
                                  std::string(aWords[3]),
                                  { aWords.begin() + 4, aWords.end() },
                                  *age });
    return true;
  }
  if (aWords[0] == "answer" && aWords.size() == 3) {
    aReport.m_successes.push_back({ std::string(aWords[2]), *age });
    return true;
  }
  if (aWords[0] == "ban" && aWords.size() == 5) {
    const auto remaining = ParseTime(aWords[3]);
    const auto level = ParseTime(aWords[4]);
    constexpr int64_t kMaxLevel = 100;
    if (remaining && level && level->count() >= 1 && level->count() <= kMaxLevel) {
      aReport.m_bans.push_back(
        { std::string(aWords[2]), static_cast<int>(level->count()), *age, *remaining });
      return true;
    }
  }
  return false;
}

std::string Text(base::Millis aTime) {
  return std::to_string(std::clamp(aTime, base::Millis(0), kMaxTime).count());
}

} // namespace

bool IsQuarantineReport(std::string_view aBytes) {
  return aBytes.starts_with(kMagic);
}

std::string EncodeQuarantineReport(const quarantine::Report& aReport) {
  std::string text(kMagic);
  for (const quarantine::CrashReport& crash : aReport.m_crashes) {
    text += "crash " + Text(crash.m_age) + ' ' + crash.m_endpoint + ' ' + crash.m_call;
    for (const std::string& part : crash.m_parts) {
      text += ' ' + part;
    }
    text += '\n';
  }
  for (const quarantine::SuccessReport& success : aReport.m_successes) {
    text += "answer " + Text(success.m_age) + ' ' + success.m_part + '\n';
  }
  for (const quarantine::BanReport& ban : aReport.m_bans) {
    text += "ban " + Text(ban.m_age) + ' ' + ban.m_part + ' ' + Text(ban.m_remaining) + ' ' +
            std::to_string(ban.m_level) + '\n';
  }
  return text;
}

std::optional<quarantine::Report> DecodeQuarantineReport(std::string_view aBytes) {
  if (!IsQuarantineReport(aBytes)) {
    return std::nullopt;
  }
  aBytes.remove_prefix(kMagic.size());
  quarantine::Report report;
  for (size_t entries = 0; !aBytes.empty(); ++entries) {
    const size_t end = aBytes.find('\n');
    if (end == std::string_view::npos || entries >= kMaxEntries ||
        !ParseLine(SplitWords(aBytes.substr(0, end)), report)) {
      return std::nullopt;
    }
    aBytes.remove_prefix(end + 1);
  }
  return report;
}

} // namespace papayafield::adapters::peer
