#include "serving/ReplicaCodec.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>
#include <random>

using namespace papayafield;
using namespace papayafield::serving;
using nlohmann::json;

namespace {

sync::StoreReplica MakeReplica() {
  sync::StoreReplica replica([](const auto&, const auto&, auto) {});
  replica.Apply({ { "servers/a", std::string("\0x", 2), { 0, 5 }, 2 }, false });
  replica.Apply({ { "servers/b", "y", { 0, 6 }, 6 }, false });
  replica.Apply({ { "servers/b", "", { 0, 7 }, 0 }, true });
  return replica;
}

std::string ToCbor(const json& aValue) {
  const auto bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaCodecTest)

BOOST_AUTO_TEST_CASE(ReplicaRoundTrips) {
  const auto snapshot = DecodeReplica(EncodeReplica(MakeReplica(), { 0, 4 }));
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST(snapshot->m_position.m_revision == 7U);
  BOOST_TEST(!snapshot->m_complete);
  BOOST_REQUIRE(snapshot->m_changes.size() == 2U);
  BOOST_TEST(snapshot->m_changes[0].m_item.m_data == std::string("\0x", 2));
  BOOST_TEST(snapshot->m_changes[1].m_removed);
  BOOST_TEST(snapshot->m_changes[1].m_item.m_key == "servers/b");
}

// A reply of another form ended the process by an exception.
BOOST_AUTO_TEST_CASE(RepliesOfAnotherFormAreRejected) {
  const json valid = { { "revision", 7 },
                       { "whole", true },
                       { "items", { { "k", json::binary({ 1 }), 5, 5 } } },
                       { "removed", json::array() } };
  BOOST_TEST(DecodeReplica(ToCbor(valid)).has_value());
  const std::vector<std::pair<const char*, json>> odd = {
    { "revision", "x" },
    { "revision", -1 },
    { "revision", 1e300 },
    { "whole", 1 },
    { "items", 5 },
    { "items", { { "k", "text", 5, 5 } } },
    { "items", { 1 } },
    { "items", { { "k", json::binary({ 1 }), 5 } } },
    { "items", { { 1, json::binary({ 1 }), 5, 5 } } },
    { "removed", { 1 } },
    { "removed", { { "k", "v" } } },
    { "removed", { { "k", -1 } } },
  };
  for (const auto& [key, value] : odd) {
    json root = valid;
    root[key] = value;
    BOOST_TEST(!DecodeReplica(ToCbor(root)).has_value(), root.dump());
    root.erase(key);
    BOOST_TEST(!DecodeReplica(ToCbor(root)).has_value(), root.dump());
  }
  BOOST_TEST(!DecodeReplica("").has_value());
  BOOST_TEST(!DecodeReplica(ToCbor(json::array())).has_value());
  BOOST_TEST(!DecodeReplica(std::string(4000000, '\x81')).has_value());
}

// A peer of an earlier era gets complete contents, whatever its revision.
BOOST_AUTO_TEST_CASE(EraAndConfigurationRoundTrip) {
  sync::StoreReplica replica([](const auto&, const auto&, auto) {});
  replica.Replace("", { { "servers/a", "x", { 3, 5 }, 2 } }, { 3, 7 });
  replica.Advance({ 3, 7 });
  const std::string configuration("\0c", 2);
  const auto snapshot = DecodeReplica(EncodeReplica(replica, { 2, 99 }, configuration));
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST(snapshot->m_complete);
  BOOST_TEST((snapshot->m_position == store::Position{ 3, 7 }));
  BOOST_REQUIRE(snapshot->m_changes.size() == 1U);
  BOOST_TEST((snapshot->m_changes[0].m_item.m_position == store::Position{ 3, 5 }));
  BOOST_TEST((snapshot->m_configuration == configuration));
  BOOST_TEST(!DecodeReplica(EncodeReplica(replica, { 3, 7 }))->m_configuration.has_value());
}

// Nodes of an earlier version state no era.
BOOST_AUTO_TEST_CASE(MissingEraIsZeroAndAMalformedOneIsRejected) {
  json root = { { "revision", 7 },
                { "whole", true },
                { "items", { { "k", json::binary({ 1 }), 5, 5 } } },
                { "removed", json::array() } };
  BOOST_TEST((DecodeReplica(ToCbor(root))->m_position == store::Position{ 0, 7 }));
  for (const json& era : { json("x"), json(-1), json(1e300), json(), json::array() }) {
    root["era"] = era;
    BOOST_TEST(!DecodeReplica(ToCbor(root)).has_value(), root.dump());
  }
  root["era"] = 2;
  for (const json& configuration : { json("text"), json(1), json::array() }) {
    root["configuration"] = configuration;
    BOOST_TEST(!DecodeReplica(ToCbor(root)).has_value(), root.dump());
  }
}

BOOST_AUTO_TEST_CASE(RandomBytesAreRejectedOrDecoded) {
  const std::string valid = EncodeReplica(MakeReplica(), { 0, 4 });
  for (uint64_t seed = 1; seed <= 5000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = valid.substr(0, seed % 2 == 0 ? valid.size() : random() % valid.size());
    for (int change = 0; change < 4 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    BOOST_CHECK_NO_THROW(DecodeReplica(bytes));
  }
}

// An item that was written and removed while the watch of this replica had a gap stayed at peers.
BOOST_AUTO_TEST_CASE(PeerLearnsOfARemovalInAGap) {
  const auto ignore = [](const auto&, const auto&, auto) {};
  sync::StoreReplica lister(ignore);
  lister.Replace("", { { "servers/a", "x", { 1, 10 }, 10 } }, { 1, 50 });
  lister.Advance({ 1, 50 });
  sync::StoreReplica peer(ignore);
  peer.CatchUp({ { { "servers/a", "x", { 1, 10 }, 10 }, false },
                 { { "servers/b", "x", { 1, 55 }, 55 }, false } },
               true,
               { 1, 60 });
  // "b" was removed at 70; the lister's watch had no history any more.
  lister.Replace("", { { "servers/a", "x", { 1, 10 }, 10 } }, { 1, 100 });
  lister.Advance({ 1, 100 });
  const auto snapshot = DecodeReplica(EncodeReplica(lister, peer.LastPosition()));
  peer.CatchUp(snapshot->m_changes, snapshot->m_complete, snapshot->m_position);
  BOOST_TEST(peer.LastPosition().m_revision == 100U);
  BOOST_TEST(peer.Find("servers/b") == nullptr);
  // A replica that was not ahead of the gap still gets changes only.
  BOOST_TEST(!DecodeReplica(EncodeReplica(lister, { 1, 50 }))->m_complete);
}

// The gap of a replica was unknown to a peer that had its changes, which then hid a removal in the
// gap from a third one.
BOOST_AUTO_TEST_CASE(GapIsPassedOnWithChanges) {
  const auto ignore = [](const auto&, const auto&, auto) {};
  const store::Item kept{ "servers/a", "x", { 1, 10 }, 10 };
  const store::Change write{ { "servers/b", "x", { 1, 55 }, 55 }, false };
  sync::StoreReplica lister(ignore);
  sync::StoreReplica middle(ignore);
  sync::StoreReplica last(ignore);
  for (sync::StoreReplica* replica : { &lister, &middle, &last }) {
    replica->Replace("", { kept }, { 1, 50 });
    replica->Advance({ 1, 50 });
  }
  last.Apply(write);
  lister.Replace("", { kept }, { 1, 100 });
  lister.Advance({ 1, 100 });
  const auto fetch = [](const sync::StoreReplica& aFrom, sync::StoreReplica& aTo) {
    const store::Position after = aTo.LastPosition();
    const auto snapshot = DecodeReplica(EncodeReplica(aFrom, after));
    aTo.CatchUp(
      snapshot->m_changes, snapshot->m_complete, snapshot->m_position, after, snapshot->m_gap);
    return snapshot->m_complete;
  };
  BOOST_TEST(!fetch(lister, middle));
  BOOST_TEST(fetch(middle, last));
  BOOST_TEST(last.Find("servers/a") != nullptr);
  BOOST_TEST(last.Find("servers/b") == nullptr);
  for (const json& gap : { json("x"), json({ 1 }), json({ -1, 2 }), json({ 1, "y" }) }) {
    json root = { { "revision", 7 },
                  { "whole", false },
                  { "items", json::array() },
                  { "removed", json::array() },
                  { "gap", gap } };
    BOOST_TEST(!DecodeReplica(ToCbor(root)).has_value(), gap.dump());
  }
}

BOOST_AUTO_TEST_SUITE_END()
