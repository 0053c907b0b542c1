#define BOOST_TEST_MODULE spurrack
#include <boost/test/unit_test.hpp>
