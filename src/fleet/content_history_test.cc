#include "fuchsiaspring/fleet/content_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fuchsiaspring::fleet {
namespace {

class content_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(content_history_test);
  CPPUNIT_TEST(node_that_is_behind_gets_only_what_changed);
  CPPUNIT_TEST(unknown_base_gets_the_whole_content);
  CPPUNIT_TEST(change_from_another_content_is_refused);
  CPPUNIT_TEST(damaged_change_is_refused);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a slow link that carries the whole content after each small change.
  void node_that_is_behind_gets_only_what_changed() {
    content_history ahead;
    content_history behind;
    content_map content{{"config", std::string(100000, 'x')}, {"r1", "a"}, {"r2", "b"}};
    ahead.add(content);
    behind.add(content);
    content["r1"] = "c";
    ahead.add(content);
    content.erase("r2");
    content["r3"] = "d";
    ahead.add(content);
    const content_delta change = ahead.delta_since(behind.hash());
    CPPUNIT_ASSERT(change.size() < 20);
    const auto result = apply(behind.content(), behind.hash(), change);
    CPPUNIT_ASSERT(result && *result == content);
  }

  void unknown_base_gets_the_whole_content() {
    content_history history;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, history.hash());
    history.add({{"a", "1"}});
    const content_delta change = history.delta_since(77);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, change.base_hash);
    CPPUNIT_ASSERT(*apply({}, 0, change) == history.content());
    CPPUNIT_ASSERT(!history.add({{"a", "1"}}));
  }

  // Guards against applying a change to a content that it is not based on.
  void change_from_another_content_is_refused() {
    content_history history;
    history.add({{"a", "1"}});
    const std::uint64_t first = history.hash();
    history.add({{"a", "2"}});
    const content_map other{{"b", "1"}};
    CPPUNIT_ASSERT(!apply(other, content_hash(other), history.delta_since(first)));
  }

  void damaged_change_is_refused() {
    content_history history;
    history.add({{"a", "1"}});
    content_delta change = history.delta_since(0);
    change.changed["a"] = "2";
    CPPUNIT_ASSERT(!apply({}, 0, change));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(content_history_test);

}  // namespace
}  // namespace fuchsiaspring::fleet
