#include "gossip/Update.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::gossip;

namespace {

const Contact kSender{ base::NodeId("n1"), 1, "10.0.0.1" };

std::vector<store::Change> ChangesOf(uint64_t aFirst, size_t aCount, size_t aBytes) {
  std::vector<store::Change> changes;
  for (uint64_t i = 0; i < aCount; ++i) {
    changes.push_back(
      { { "k" + std::to_string(i), std::string(aBytes, 'x'), { 0, aFirst + i }, 1 }, i % 2 == 1 });
  }
  return changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpdateTest)

// A burst of registrations is split into datagrams below the MTU, each continuing from the last.
BOOST_AUTO_TEST_CASE(UpdatesAreContiguous) {
  const auto changes = ChangesOf(11, 12, 300);
  const auto updates = SplitUpdate(kSender, { 0, 10 }, changes);
  BOOST_TEST(updates.size() > 1U);
  uint64_t revision = 10;
  size_t count = 0;
  for (const Update& update : updates) {
    size_t bytes = 0;
    for (const store::Change& change : update.m_changes) {
      bytes += change.m_item.m_key.size() + change.m_item.m_data.size();
    }
    BOOST_TEST(bytes < 1400U);
    BOOST_TEST((ClassifyUpdate(update, { 0, revision }) == UpdateAction::Apply));
    revision = update.m_position.m_revision;
    count += update.m_changes.size();
  }
  BOOST_TEST(revision == 22U);
  BOOST_TEST(count == changes.size());
}

// A node that has lost a datagram must not apply a later one as if nothing were missing.
BOOST_AUTO_TEST_CASE(GapRequiresFetch) {
  const auto updates = SplitUpdate(kSender, { 0, 10 }, ChangesOf(11, 12, 300));
  BOOST_REQUIRE(updates.size() > 1U);
  BOOST_TEST((ClassifyUpdate(updates[1], { 0, 10 }) == UpdateAction::Fetch));
  BOOST_TEST((ClassifyUpdate(updates[0], { 0, 22 }) == UpdateAction::Ignore));
}

// Nodes took their view for confirmed by peers that were behind, and by changes that they could not
// fetch.
BOOST_AUTO_TEST_CASE(OnlyAnUpdateThatLeavesNothingMissingConfirmsAView) {
  const auto updates = SplitUpdate(kSender, { 0, 10 }, ChangesOf(11, 12, 300));
  BOOST_REQUIRE(updates.size() > 1U);
  BOOST_TEST(Confirms(updates[0], { 0, 10 }));
  BOOST_TEST(!Confirms(updates[1], { 0, 10 }));
  BOOST_TEST(!Confirms(updates[0], { 0, 22 }));
  const Update empty{ kSender, 10, { 0, 10 }, {}, {} };
  BOOST_TEST(Confirms(empty, { 0, 10 }));
  BOOST_TEST(!Confirms(empty, { 0, 9 }));
  BOOST_TEST(!Confirms(empty, { 0, 11 }));
}

// Nodes took a view for confirmed for as long as a watch of the sender hung.
BOOST_AUTO_TEST_CASE(UpdateConfirmsNoMoreThanItsSenderKnew) {
  const base::TimePoint arrival = base::BootNow();
  const auto ageOf = [&](std::optional<base::Millis> aConfirmedAge) {
    const Update update{ kSender, 10, { 0, 10 }, {}, aConfirmedAge };
    return arrival - ConfirmationTime(update, arrival);
  };
  BOOST_TEST((ageOf(base::Millis(0)) == base::Millis(0)));
  BOOST_TEST((ageOf(base::Millis(1900)) == base::Millis(1900)));
  // Earlier releases do not state the age.
  BOOST_TEST((ageOf(std::nullopt) >= base::Millis(2700)));
}

// Nodes lost the changes of a transaction that came with a second datagram.
BOOST_AUTO_TEST_CASE(ChangesAtOnePositionAreNotSplit) {
  auto changes = ChangesOf(11, 12, 300);
  for (size_t i = 2; i < changes.size(); ++i) {
    changes[i].m_item.m_position = { 0, 13 };
  }
  const auto updates = SplitUpdate(kSender, { 0, 10 }, changes);
  BOOST_REQUIRE(updates.size() == 1U);
  BOOST_TEST(updates[0].m_position.m_revision == 13U);
  BOOST_TEST((ClassifyUpdate(updates[0], { 0, 10 }) == UpdateAction::Fetch));
}

BOOST_AUTO_TEST_CASE(TooManyChangesRequireFetch) {
  const auto updates = SplitUpdate(kSender, { 0, 10 }, ChangesOf(11, 400, 300));
  BOOST_REQUIRE(updates.size() == 1U);
  BOOST_TEST(updates[0].m_position.m_revision == 410U);
  BOOST_TEST((ClassifyUpdate(updates[0], { 0, 10 }) == UpdateAction::Fetch));
  BOOST_TEST((ClassifyUpdate(updates[0], { 0, 410 }) == UpdateAction::Ignore));
}

// Changes of a later era do not continue from an earlier one, and those of an earlier era are not
// news, whatever their revisions.
BOOST_AUTO_TEST_CASE(UpdateOfAnotherEraIsNotApplied) {
  const auto updates = SplitUpdate(kSender, { 0, 10 }, ChangesOf(11, 2, 300));
  BOOST_REQUIRE(updates.size() == 1U);
  Update later = updates[0];
  later.m_position.m_era = 1;
  BOOST_TEST((ClassifyUpdate(later, { 0, 10 }) == UpdateAction::Fetch));
  BOOST_TEST((ClassifyUpdate(later, { 0, 400 }) == UpdateAction::Fetch));
  BOOST_TEST((ClassifyUpdate(updates[0], { 1, 2 }) == UpdateAction::Ignore));
}

BOOST_AUTO_TEST_SUITE_END()
