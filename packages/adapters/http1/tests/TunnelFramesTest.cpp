#include "adapters/http1/TunnelFrames.h"

#include "adapters/http1/Connection.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>

#include <memory>
#include <string>

using namespace papayafield::adapters::http1;

namespace {

using Buffer = std::unique_ptr<evbuffer, BufferDeleter>;

Buffer MakeBuffer(std::string_view aBytes = {}) {
  Buffer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), aBytes.data(), aBytes.size());
  return buffer;
}

std::string Take(evbuffer* aBuffer) {
  std::string bytes(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, bytes.data(), bytes.size());
  return bytes;
}

/// Returns frames with `aFirst` and `aSecond`, and with the end `aEnd`.
std::string MakeFrames(std::string_view aFirst, std::string_view aSecond, TargetEnd aEnd) {
  const Buffer frames = MakeBuffer();
  AddTargetBytes(frames.get(), MakeBuffer(aFirst).get());
  AddTargetBytes(frames.get(), MakeBuffer(aSecond).get());
  AddTargetEnd(frames.get(), aEnd);
  return Take(frames.get());
}

} // namespace

BOOST_AUTO_TEST_SUITE(TunnelFramesTest)

BOOST_AUTO_TEST_CASE(FramesAreReadFromPieces) {
  for (const TargetEnd end : { TargetEnd::Finished, TargetEnd::Reset, TargetEnd::Unreachable }) {
    const std::string frames = MakeFrames("one", std::string(300, 'x'), end);
    for (const size_t size : { size_t{ 1 }, size_t{ 5 }, frames.size() }) {
      TunnelFrameReader reader;
      const Buffer input = MakeBuffer();
      const Buffer output = MakeBuffer();
      for (size_t at = 0; at < frames.size(); at += size) {
        BOOST_TEST(!reader.End().has_value());
        const std::string piece = frames.substr(at, size);
        evbuffer_add(input.get(), piece.data(), piece.size());
        reader.Read(input.get(), output.get());
      }
      BOOST_TEST((reader.End() == end));
      BOOST_TEST(Take(output.get()) == "one" + std::string(300, 'x'));
      BOOST_TEST(evbuffer_get_length(input.get()) == 0U);
    }
  }
}

// An empty frame would state an end.
BOOST_AUTO_TEST_CASE(NoBytesMakeNoFrame) {
  const Buffer frames = MakeBuffer();
  AddTargetBytes(frames.get(), MakeBuffer().get());
  BOOST_TEST(evbuffer_get_length(frames.get()) == 0U);
}

BOOST_AUTO_TEST_CASE(BytesAfterTheEndAreDropped) {
  TunnelFrameReader reader;
  const Buffer input = MakeBuffer(MakeFrames("a", "b", TargetEnd::Reset) + "more");
  const Buffer output = MakeBuffer();
  reader.Read(input.get(), output.get());
  BOOST_TEST((reader.End() == TargetEnd::Reset));
  BOOST_TEST(Take(output.get()) == "ab");
  BOOST_TEST(evbuffer_get_length(input.get()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
