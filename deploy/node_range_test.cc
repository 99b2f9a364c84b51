// End-to-end tests of fuchsia-node with a list of replicas that exceeds a page of the store.
#include <algorithm>

#include "apps/node/compression.h"
#include "apps/node/snapshot_exchange.h"
#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

constexpr int replicas = 1200;

class node_range_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_range_test);
  CPPUNIT_TEST(list_over_a_slow_link_is_read_to_its_end);
  CPPUNIT_TEST(ranges_are_read_by_several_nodes);
  CPPUNIT_TEST(lost_nodes_remove_no_replica);
  CPPUNIT_TEST(snapshot_of_a_large_fleet_is_small);
  CPPUNIT_TEST_SUITE_END();

  static std::string key(int number) { return "servers/i-" + std::to_string(10'000 + number); }

  void put_list() {
    m_store->put("op/config", make_config(1));
    for (int i = 0; i < replicas; ++i) {
      m_store->put(key(i), make_server_entry(static_cast<std::uint16_t>(20'000 + i)));
    }
  }

  bool is_in_log(const node_process& node, const std::string& text) const {
    return node.log().find(text) != std::string::npos;
  }

  // Waits until each node in `nodes` has logged `text`.
  void expect_in_logs(const std::vector<node_process*>& nodes, const std::string& text,
                      milliseconds limit) {
    for (const node_process* node : nodes) {
      CPPUNIT_ASSERT_MESSAGE(text + "\n" + node->log(),
                             run_until(
                                 *m_io, [&] { return is_in_log(*node, text); }, limit));
    }
  }

  std::vector<node_process*> start_fleet(int nodes) {
    put_list();
    std::vector<node_process*> started;
    for (int i = 0; i < nodes; ++i) {
      started.push_back(&start_node());
    }
    expect_in_logs(started, "replicas=" + std::to_string(replicas), seconds(8));
    return started;
  }

  static bool reads_the_store(const node_process& node) {
    const std::string log = node.log();
    const std::size_t last = log.rfind("configuration_source_changed");
    return last != std::string::npos && log.substr(last, 50).find("service") != std::string::npos;
  }

  // Guards against a timeout that covers all pages, within which no list ends on a narrow link.
  void list_over_a_slow_link_is_read_to_its_end() {
    m_store->set_page_delay(milliseconds(400));
    start_fleet(1);
  }

  // Guards against one node's link that carries the whole list in each read, and against changes
  // that take longer to be known than the list of one node's range.
  void ranges_are_read_by_several_nodes() {
    const std::vector<node_process*> nodes = start_fleet(5);
    // A page by each node, and the pages of the reader and of one more node at most.
    CPPUNIT_ASSERT(m_store->whole_reads() <= 5 + 2 * 3);
    wait(seconds(1));
    const int whole_reads = m_store->whole_reads();
    const int range_reads = m_store->range_reads();
    m_store->put("op/config", make_config(2));
    expect_in_logs(nodes, "config_version=2 ", seconds(2));
    m_store->remove(key(700));
    expect_in_logs(nodes, "replicas=" + std::to_string(replicas - 1), seconds(2));
    m_store->put("servers/a", make_server_entry(9));
    m_store->put("servers/z", make_server_entry(9));
    expect_in_logs(nodes, "replicas=" + std::to_string(replicas + 1), seconds(2));
    CPPUNIT_ASSERT_EQUAL(whole_reads, m_store->whole_reads());
    CPPUNIT_ASSERT(m_store->range_reads() > range_reads);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count_if(nodes.begin(), nodes.end(), [](const node_process* each) {
                           return reads_the_store(*each);
                         }));
  }

  // Guards against replicas that count as gone because the node that reads their range is lost, and
  // against a fleet that follows no changes without its reader.
  void lost_nodes_remove_no_replica() {
    std::vector<node_process*> nodes = start_fleet(5);
    wait(seconds(1));
    const auto reader = std::partition(nodes.begin(), nodes.end(), [](const node_process* each) {
      return !reads_the_store(*each);
    });
    CPPUNIT_ASSERT(reader != nodes.end());
    nodes.front()->signal(SIGSTOP);
    (*reader)->signal(SIGKILL);
    const std::vector<node_process*> others(nodes.begin() + 1, reader);
    m_store->put("op/config", make_config(2));
    expect_in_logs(others, "config_version=2 ", seconds(5));
    m_store->put("op/config", make_config(3));
    expect_in_logs(others, "config_version=3 ", seconds(3));
    for (const node_process* each : others) {
      std::string log = each->log();
      for (std::size_t at = log.find(" replicas="); at != std::string::npos;
           at = log.find(" replicas=", at + 1)) {
        CPPUNIT_ASSERT_EQUAL(replicas, std::stoi(log.substr(at + 10)));
      }
    }
    nodes.front()->signal(SIGCONT);
  }

  // Guards against transfers that take seconds of a link of 10 Mbit/s each, and against input that
  // grows without limit when it is decompressed.
  void snapshot_of_a_large_fleet_is_small() {
    node_app::snapshot_change whole;
    for (int i = 0; i < 3000; ++i) {
      whole.change.changed["servers/app-" + std::to_string(i)] =
          R"({"address":"10.1.)" + std::to_string(i / 250) + '.' + std::to_string(i % 250) +
          R"(:8080","born":17712359)" + std::to_string(10'000 + i * 37) +
          R"(,"cold-remaining-ms":0.0,"service":"engine-)" + std::to_string(i % 4) +
          R"(","slots":16,"state":"ready","zone":"zone-)" + std::to_string(i % 3) + R"("})";
    }
    const std::string bytes = node_app::encode_snapshot(whole);
    const std::string compressed = node_app::compress(bytes);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(compressed.size()), compressed.size() < 130'000);
    CPPUNIT_ASSERT(node_app::decompress(compressed, bytes.size()) == bytes);
    CPPUNIT_ASSERT(!node_app::decompress(compressed, bytes.size() - 1));
    CPPUNIT_ASSERT(!node_app::decompress("", 100));
    CPPUNIT_ASSERT(!node_app::decompress("not compressed", 100));
    CPPUNIT_ASSERT(
        !node_app::decompress(compressed.substr(0, compressed.size() / 2), bytes.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_range_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
