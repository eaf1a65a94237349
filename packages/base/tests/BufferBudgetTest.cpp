#include "base/BufferBudget.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace papayafield::base;

namespace {

/// A buffer that records that it was dropped.
struct Buffer {
  Buffer(BufferBudget& aBudget, const std::string& aOwner, bool aIsReplaceable)
    : m_claim(aBudget.Open({ aOwner, aIsReplaceable, [this] { m_dropped = true; } })) {}

  bool m_dropped = false;
  BufferBudget::Claim m_claim;
};

/// A request that records that it was dropped.
struct Request {
  explicit Request(BufferBudget& aBudget)
    : m_claim(aBudget.Open(
        { "caller", false, [this] { m_dropped = true; }, BufferKind::IncompleteRequest })) {}

  bool m_dropped = false;
  BufferBudget::Claim m_claim;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BufferBudgetTest)

// A peer that sends without end must not cost the buffers of others.
BOOST_AUTO_TEST_CASE(BuffersOfTheOwnerThatHoldsTheMostAreDropped) {
  BufferBudget budget({ 100 });
  Buffer large(budget, "sound", false);
  Buffer first(budget, "endless", true);
  Buffer second(budget, "endless", true);
  BOOST_TEST(large.m_claim.Resize(40));
  BOOST_TEST(first.m_claim.Resize(25));
  BOOST_TEST(second.m_claim.Resize(35));
  BOOST_TEST(large.m_claim.Resize(41));
  BOOST_TEST(second.m_dropped);
  BOOST_TEST(!first.m_dropped);
  BOOST_TEST(!large.m_dropped);
  BOOST_TEST(!second.m_claim.Resize(1));
  BOOST_TEST(budget.UsedBytes() == 66U);
  BOOST_TEST(budget.DropCount() == 1U);
}

BOOST_AUTO_TEST_CASE(ReplaceableBuffersAreDroppedFirst) {
  BufferBudget budget({ 100 });
  Buffer order(budget, "endpoint", false);
  Buffer lookup(budget, "endpoint", true);
  BOOST_TEST(order.m_claim.Resize(60));
  BOOST_TEST(lookup.m_claim.Resize(40));
  BOOST_TEST(order.m_claim.Resize(70));
  BOOST_TEST(lookup.m_dropped);
  BOOST_TEST(!order.m_claim.Resize(101));
  BOOST_TEST(order.m_dropped);
  BOOST_TEST(budget.UsedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ClaimMayEndWhenItsBufferIsDropped) {
  BufferBudget budget({ 10 });
  std::optional<BufferBudget::Claim> claim;
  claim.emplace(budget.Open({ "a", false, [&] { claim.reset(); } }));
  BOOST_TEST(!claim->Resize(11));
  BOOST_TEST(!claim.has_value());
  BOOST_TEST(budget.UsedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ClaimMayOutliveItsBudget) {
  std::optional<BufferBudget> budget(BufferBudgetSettings{ 10 });
  Buffer buffer(*budget, "a", false);
  BOOST_TEST(buffer.m_claim.Resize(5));
  budget.reset();
  BOOST_TEST(buffer.m_claim.Resize(6));
}

// Callers that stop short of the end of their requests must not cost the requests of others.
BOOST_AUTO_TEST_CASE(RequestThatHasNotGrownForTheLongestTimeIsDroppedFirst) {
  BufferBudget budget({ 100 });
  Buffer answer(budget, "endpoint", true);
  Request stalled(budget);
  Request complete(budget);
  Request growing(budget);
  BOOST_TEST(answer.m_claim.Resize(25));
  BOOST_TEST(complete.m_claim.Resize(20));
  complete.m_claim.Pin();
  BOOST_TEST(growing.m_claim.Resize(10));
  BOOST_TEST(stalled.m_claim.Resize(30));
  BOOST_TEST(growing.m_claim.Resize(20));
  BOOST_TEST(growing.m_claim.Resize(26));
  BOOST_TEST(stalled.m_dropped);
  BOOST_TEST(growing.m_claim.Resize(55));
  BOOST_TEST(!growing.m_claim.Resize(56));
  BOOST_TEST(!answer.m_dropped);
  BOOST_TEST(!complete.m_dropped);
  BOOST_TEST(budget.UsedBytes() == 45U);
  BOOST_TEST(budget.RequestDropCount() == 2U);
}

// The largest request that is allowed is served without other load, whatever the limit.
BOOST_AUTO_TEST_CASE(RequestThatIsAloneMayExceedTheLimit) {
  BufferBudget budget({ 100 });
  Request request(budget);
  Buffer answer(budget, "endpoint", false);
  BOOST_TEST(request.m_claim.Resize(200));
  request.m_claim.Pin();
  BOOST_TEST(answer.m_claim.Resize(25));
  BOOST_TEST(!answer.m_claim.Resize(30));
  BOOST_TEST(!request.m_dropped);
}

// With any sequence of changes, the limit holds and the sum is that of the buffers that are left.
BOOST_AUTO_TEST_CASE(LimitHoldsAfterEachChange) {
  constexpr size_t kLimit = 1000;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    BufferBudget budget({ kLimit });
    std::vector<std::unique_ptr<Buffer>> buffers;
    std::map<Buffer*, size_t> sizes;
    for (int change = 0; change < 500; ++change) {
      if (random() % 4 == 0) {
        buffers.push_back(std::make_unique<Buffer>(
          budget, std::string(1, static_cast<char>('a' + random() % 5)), random() % 2 == 0));
      } else if (!buffers.empty()) {
        const size_t index = random() % buffers.size();
        if (random() % 5 == 0) {
          sizes.erase(buffers[index].get());
          buffers.erase(buffers.begin() + static_cast<ptrdiff_t>(index));
        } else {
          const size_t bytes = random() % 300;
          if (buffers[index]->m_claim.Resize(bytes)) {
            sizes[buffers[index].get()] = bytes;
          }
        }
      }
      std::erase_if(sizes, [](const auto& aEntry) { return aEntry.first->m_dropped; });
      size_t sum = 0;
      for (const auto& [buffer, bytes] : sizes) {
        sum += bytes;
      }
      BOOST_REQUIRE(budget.UsedBytes() == sum);
      BOOST_REQUIRE(budget.UsedBytes() <= kLimit);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
