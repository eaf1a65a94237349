#include "adapters/peer/WireCodec.h"

#include "base/Digest.h"

#include <boost/test/unit_test.hpp>

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <random>

using namespace papayafield;
using namespace papayafield::adapters::peer;

namespace {

const std::vector<std::string> kKeys{ "the first key of the fleet", "the second key of the fleet" };

WireMessage MakeExampleMessage() {
  WireMessage wire;
  wire.m_clock = { 1234567, 8 };
  wire.m_message.m_kind = membership::MessageKind::PingRequest;
  wire.m_message.m_sequence = 77;
  wire.m_message.m_sender.m_member.m_node = base::NodeId("n1");
  wire.m_message.m_sender.m_member.m_generation = 9;
  wire.m_message.m_target = { "10.0.0.2", 8200 };
  wire.m_message.m_records.push_back(wire.m_message.m_sender);
  wire.m_message.m_leaving.emplace_back("gpu-1");
  return wire;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WireCodecTest)

BOOST_AUTO_TEST_CASE(DatagramRoundTripsWithEitherKey) {
  for (const std::string& key : kKeys) {
    const auto decoded = DecodeDatagram(EncodeDatagram(MakeExampleMessage(), key), kKeys);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->m_message.m_sequence == 77U);
    BOOST_TEST(decoded->m_message.m_sender.m_member.m_generation == 9U);
    BOOST_TEST(decoded->m_message.m_records.size() == 1U);
    BOOST_TEST(decoded->m_message.m_leaving.front().Text() == "gpu-1");
    BOOST_TEST((decoded->m_clock == base::HybridTime{ 1234567, 8 }));
  }
}

BOOST_AUTO_TEST_CASE(ForeignKeysAndChangedBytesAreRejected) {
  const std::string good = EncodeDatagram(MakeExampleMessage(), kKeys[0]);
  BOOST_TEST(!DecodeDatagram(EncodeDatagram(MakeExampleMessage(), "a key of another fleet"), kKeys)
                .has_value());
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    BOOST_TEST(!DecodeDatagram(bad, kKeys).has_value());
    BOOST_TEST(!DecodeDatagram(good.substr(0, i), kKeys).has_value());
  }
}

// Forward compatibility with the next version: the known fields of a message with additional fields
// are read, and a message of an unknown kind is rejected.
BOOST_AUTO_TEST_CASE(NextVersionIsAccepted) {
  for (const bool knownKind : { true, false }) {
    capnp::MallocMessageBuilder builder;
    // The struct of the next version has one data word and two pointers more than the current one.
    constexpr uint16_t kDataWords = 5;
    constexpr uint16_t kPointerCount = 6;
    auto next = builder.getRoot<capnp::AnyPointer>().initAsAnyStruct(kDataWords, kPointerCount);
    next.getDataSection()[kDataWords * 8 - 1] = 99;
    auto root = next.as<wire::Message>();
    root.setVersion(wire::PROTOCOL_VERSION + 1);
    root.setKind(knownKind ? 0 : 200);
    root.setSequence(5);
    root.initSender().setNode("n9");
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray();
    const std::string content(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
    const std::string mac = base::HmacHex(kKeys[0], content).substr(0, 32);
    const auto message = DecodeDatagram(mac + content, kKeys);
    BOOST_TEST(message.has_value() == knownKind);
    if (message) {
      BOOST_TEST(message->m_message.m_sequence == 5U);
      BOOST_TEST(message->m_message.m_sender.m_member.m_node.Text() == "n9");
    }
  }
}

// Malformed content with a valid MAC must not crash the decoder.
BOOST_AUTO_TEST_CASE(AuthenticatedMalformedContentIsHandledSafely) {
  std::mt19937_64 random(7);
  const std::string good = EncodeDatagram(MakeExampleMessage(), kKeys[0]);
  for (int round = 0; round < 20000; ++round) {
    std::string content = good.substr(32);
    for (uint64_t edits = random() % 8; edits > 0; --edits) {
      content[random() % content.size()] = static_cast<char>(random());
    }
    content.resize(random() % 4 == 0 ? random() % content.size() + 1 : content.size());
    const std::string mac = base::HmacHex(kKeys[0], content).substr(0, 32);
    DecodeDatagram(mac + content, kKeys);
  }
}

BOOST_AUTO_TEST_SUITE_END()
