#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/base/hash.h"
#include "fuchsiaspring/base/json_document.h"
#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::base {
namespace {

class base_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(base_test);
  CPPUNIT_TEST(digest_matches_published_vector);
  CPPUNIT_TEST(mac_depends_on_key);
  CPPUNIT_TEST(removing_one_member_moves_only_its_keys);
  CPPUNIT_TEST(top_members_do_not_depend_on_list_order);
  CPPUNIT_TEST(same_seed_gives_the_same_random_sequence);
  CPPUNIT_TEST(deeply_nested_json_is_refused);
  CPPUNIT_TEST_SUITE_END();

  void digest_matches_published_vector() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
        sha256_hex("abc"));
  }

  void mac_depends_on_key() {
    CPPUNIT_ASSERT(constant_time_equal(hmac_sha256("k1", "data"), hmac_sha256("k1", "data")));
    CPPUNIT_ASSERT(!constant_time_equal(hmac_sha256("k1", "data"), hmac_sha256("k2", "data")));
    CPPUNIT_ASSERT(!constant_time_equal("short", "longer"));
  }

  // Guards against a membership change that moves keys between surviving members.
  void removing_one_member_moves_only_its_keys() {
    const std::vector<std::string> all{"vm1", "vm2", "vm3", "vm4", "vm5"};
    const std::vector<std::string> fewer{"vm1", "vm2", "vm4", "vm5"};
    for (int i = 0; i < 1000; ++i) {
      const std::string key = "key" + std::to_string(i);
      const std::string& before = all[rendezvous_top(key, all, 1).front()];
      const std::string& after = fewer[rendezvous_top(key, fewer, 1).front()];
      if (before != "vm3") {
        CPPUNIT_ASSERT_EQUAL(before, after);
      }
    }
  }

  void top_members_do_not_depend_on_list_order() {
    const std::vector<std::string> list{"a", "b", "c", "d"};
    const std::vector<std::string> reversed{"d", "c", "b", "a"};
    for (int i = 0; i < 100; ++i) {
      const std::string key = std::to_string(i);
      const auto first = rendezvous_top(key, list, 3);
      const auto second = rendezvous_top(key, reversed, 3);
      for (std::size_t rank = 0; rank < 3; ++rank) {
        CPPUNIT_ASSERT_EQUAL(list[first[rank]], reversed[second[rank]]);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, rendezvous_top("k", list, 9).size());
  }

  void same_seed_gives_the_same_random_sequence() {
    random_source first(7);
    random_source second(7);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT_EQUAL(first.next(), second.next());
    }
    double sum = 0;
    constexpr int draws = 20000;
    for (int i = 0; i < draws; ++i) {
      sum += first.exponential(3.0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, sum / draws, 0.1);
  }

  // Guards against a stack that grows with the depth of a document of another program.
  void deeply_nested_json_is_refused() {
    const auto nested = [](int arrays) {
      const auto depth = static_cast<std::size_t>(arrays);
      return "{\"a\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    };
    CPPUNIT_ASSERT(parse_json_object(nested(max_json_depth - 1)));
    CPPUNIT_ASSERT(!parse_json_object(nested(max_json_depth)));
    CPPUNIT_ASSERT(!parse_json_object(nested(1'000'000)));
    CPPUNIT_ASSERT(!parse_json_object("{\"a\":" + std::string(1'000'000, '[')));
    CPPUNIT_ASSERT(!parse_json_object("[]") && !parse_json_object("{\"a\":\"\xff\"}"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_test);

}  // namespace
}  // namespace fuchsiaspring::base
