// End-to-end tests of fuchsia-node with entries that other writers have left in the store.
#include <memory>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

// The most that the store accepts.
constexpr std::size_t max_value_bytes = 1U << 20U;

std::string nested(std::size_t depth, const std::string& open, const std::string& innermost,
                   const std::string& close) {
  std::string text;
  text.reserve(depth * (open.size() + close.size()) + innermost.size());
  for (std::size_t i = 0; i < depth; ++i) {
    text += open;
  }
  text += innermost;
  for (std::size_t i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

class node_store_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_store_test);
  CPPUNIT_TEST(nested_entries_do_not_end_the_node);
  CPPUNIT_TEST(nested_entry_does_not_end_a_node_at_its_start);
  CPPUNIT_TEST(large_entries_do_not_keep_the_node_from_following);
  CPPUNIT_TEST(entries_with_unusable_addresses_name_no_replica);
  CPPUNIT_TEST(entry_of_an_unknown_service_does_not_displace_a_replica);
  CPPUNIT_TEST_SUITE_END();

  void add_sound_replica() {
    add_replica("i-1", [](tcp::socket& s, const received_request& r) {
      write_all(s, replica_response(r, "200 OK", "sound"));
    });
  }

  // The node runs, follows a change that is made now, and serves.
  void expect_following(node_process& node, int version) {
    m_store->put("op/config", make_config(version));
    const std::string adopted = "config_version=" + std::to_string(version) + " ";
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find(adopted) != std::string::npos ||
                                    node.wait_for_end(milliseconds(0));
                           }));
    CPPUNIT_ASSERT_MESSAGE(node.log(), !node.wait_for_end(milliseconds(1)));
    expect_status(send_and_receive(node, request_bytes("/once/1"), "sound"), "200");
  }

  // The entry of a replica whose field `name` has the text `value`.
  static std::string entry_with(const std::string& name, const std::string& value) {
    json entry = make_server_entry(9);
    entry.erase(name);
    const std::string text = entry.dump();
    return text.substr(0, text.size() - 1) + ",\"" + name + "\":" + value + "}";
  }

  // Guards against a stack that grows with the depth of a value, under each prefix of the store.
  void nested_entries_do_not_end_the_node() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const std::string arrays = nested(400'000, "[", "", "]");
    const std::string objects = nested(150'000, R"({"a":)", "1", "}");
    m_store->put_bytes("servers/x-1", entry_with("slots", arrays));
    m_store->put_bytes("servers/x-2", entry_with("zone", objects));
    m_store->put_bytes("servers/x-3", arrays);
    m_store->put_bytes("servers/x-4", std::string(max_value_bytes, '['));
    m_store->put_bytes("op/evacuate/x-5", objects);
    m_store->put_bytes("op/other", arrays);
    m_store->put_bytes("other", objects);
    expect_following(node, 2);
    m_store->put_bytes("op/config", R"({"version":3,"routes":)" + arrays + "}");
    run_until(
        *m_io, [] { return false; }, milliseconds(500));
    expect_following(node, 4);
  }

  // Guards against a node that ends again after each start while the entry is there.
  void nested_entry_does_not_end_a_node_at_its_start() {
    add_sound_replica();
    m_store->put_bytes("servers/x-1", entry_with("slots", nested(400'000, "[", "", "]")));
    expect_following(start_ready_node(), 2);
  }

  // Guards against entries that use up the bound on one read of the store, and its memory.
  void large_entries_do_not_keep_the_node_from_following() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const std::size_t kib_before = node.peak_memory_kib();
    const std::string padding(max_value_bytes - 1000, 'x');
    for (int i = 0; i < 12; ++i) {
      m_store->put_bytes("servers/x-" + std::to_string(i), entry_with("note", '"' + padding + '"'));
    }
    expect_following(node, 2);
    constexpr std::size_t max_growth_kib = 16384;
    CPPUNIT_ASSERT(node.peak_memory_kib() < kib_before + max_growth_kib);
  }

  // Guards against connections to port 0 or to no address, which fail each request that is sent to
  // such an entry.
  void entries_with_unusable_addresses_name_no_replica() {
    add_sound_replica();
    node_process& node = start_ready_node();
    const std::vector<std::string> addresses{"127.0.0.1:70000", "127.0.0.1:0",    "127.0.0.1:-1",
                                             "127.0.0.1:80x",   "127.0.0.1",      ":80",
                                             "localhost:80",    "127.0.0.1.9:80", ""};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      m_store->put_bytes("servers/x-" + std::to_string(i),
                         entry_with("address", '"' + addresses[i] + '"'));
    }
    m_store->put_bytes("servers/y-1", entry_with("slots", "1e999"));
    m_store->put_bytes("servers/y-2", entry_with("zone", "\"\xff\""));
    expect_following(node, 2);
    const std::string log = node.log();
    const std::string adopted = log.substr(log.rfind("state_adopted"));
    CPPUNIT_ASSERT_MESSAGE(adopted, adopted.find("replicas=1 ") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(adopted, adopted.find("unreadable_entries=11 ") != std::string::npos);
  }

  // Guards against an entry of another writer that takes a sound replica's address over.
  void entry_of_an_unknown_service_does_not_displace_a_replica() {
    add_sound_replica();
    node_process& node = start_ready_node();
    json entry = make_server_entry(m_replicas.front()->endpoint().port());
    entry["service"] = "unknown";
    entry["born"] = 2;
    m_store->put("servers/x-1", entry);
    expect_following(node, 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_store_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
