#include "StreamsBench.h"

#include "base/Time.h"
#include "forwarding/EventSplitter.h"
#include "requests/SseReader.h"

namespace papayafield::bench {

namespace {

/// Bytes that are fed in total; below the maximum size of an event.
constexpr size_t kBytes = 1000000;

/// Returns `aSize` bytes of lines that complete no event.
std::string MakePart(size_t aSize) {
  std::string part;
  while (part.size() < aSize) {
    part += part.size() % 2 == 0 ? '.' : '\n';
  }
  return part;
}

template<class Reader>
double MeasureNanosPerByte(size_t aPartSize) {
  const std::string part = MakePart(aPartSize);
  Reader reader;
  const auto start = base::SteadyClock().Now();
  for (size_t fed = 0; fed < kBytes; fed += aPartSize) {
    reader.Feed(part);
  }
  const std::chrono::duration<double, std::nano> time = base::SteadyClock().Now() - start;
  return time.count() / static_cast<double>(kBytes);
}

} // namespace

Report MeasureEndlessEvents() {
  Report report("streams: an event without end, time for each byte",
                { "part_bytes", "splitter_ns", "reader_ns" });
  for (const size_t partSize : { 1U, 7U, 64U, 65536U }) {
    report.AddRow({ partSize,
                    Rounded(MeasureNanosPerByte<forwarding::EventSplitter>(partSize), 1),
                    Rounded(MeasureNanosPerByte<requests::SseReader>(partSize), 1) });
  }
  return report;
}

} // namespace papayafield::bench
