/// \file
/// Entry point of each test program.

#define BOOST_TEST_MODULE papayafield // NOLINT(readability-identifier-naming): name given by Boost
#include <boost/test/unit_test.hpp>
