#include "fuchsiaspring/fleet/read_plan.h"

#include <algorithm>
#include <iterator>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::fleet {
namespace {

using std::chrono::milliseconds;

constexpr const char* reader_hash_key = "configuration-reader";
constexpr const char* domain_hash_key = "configuration-reader-domain";
// One more than needed, so that the loss of a domain leaves a reader.
constexpr std::size_t reading_domains = 2;
// Five heartbeats: by then the nodes of a domain know each other, and one of them is its head.
constexpr base::duration discovery_time = milliseconds(1000);
// Peers hold questions until they have a newer proof; the pause bounds the number of questions to
// a peer that does not.
constexpr base::duration peer_interval = milliseconds(100);
// Nodes to which a node passes on the state while the others start: each takes 0.1 to 0.2 s of a
// link of 10 Mbit/s, and 75 nodes have it after six levels.
constexpr std::size_t start_fan_out = 2;
// Share of the questions of a starting node that go to the node above it. The others are a way
// around a node that has failed.
constexpr double start_parent_share = 0.7;
constexpr base::duration response_margin = milliseconds(150);
// Between a reader and the last node: the head of another domain, a relay and the node itself.
constexpr int levels = 3;
constexpr base::duration min_read_time = milliseconds(900);
// Longest whole read if proofs may be used without a bound.
constexpr base::duration unbounded_read_time = milliseconds(5000);

const peer_info* find_peer(const std::vector<peer_info>& live, const std::string& vm) {
  const auto found =
      std::find_if(live.begin(), live.end(), [&](const peer_info& each) { return each.vm == vm; });
  return found == live.end() ? nullptr : &*found;
}

std::vector<std::string> find_reading_domains(const peer_info& self,
                                              const std::vector<peer_info>& live) {
  std::set<std::string> names{self.failure_domain};
  for (const peer_info& each : live) {
    names.insert(each.failure_domain);
  }
  const std::vector<std::string> domains(names.begin(), names.end());
  std::vector<std::string> reading;
  for (const std::size_t index : base::rendezvous_top(domain_hash_key, domains, reading_domains)) {
    reading.push_back(domains[index]);
  }
  return reading;
}

// The peers that are not known to have failed. A peer that gives no answer may count as live for
// some seconds, and the node after it takes its place at once.
std::vector<peer_info> answering_peers(const std::vector<peer_info>& live,
                                       const std::set<std::string>& failed_peers) {
  std::vector<peer_info> answering;
  std::copy_if(live.begin(), live.end(), std::back_inserter(answering),
               [&](const peer_info& each) { return !failed_peers.contains(each.address); });
  return answering;
}

// The head of a domain to which this node does not belong; null if none of its nodes is known.
const peer_info* head_of(const std::string& domain, const std::vector<peer_info>& live) {
  const peer_info* head = nullptr;
  std::uint64_t best = 0;
  for (const peer_info& each : live) {
    if (each.failure_domain != domain) {
      continue;
    }
    const std::uint64_t score = base::rendezvous_score(reader_hash_key, each.vm);
    if (head == nullptr || score > best) {
      head = &each;
      best = score;
    }
  }
  return head;
}

// Decides for one node. Holds references to the arguments of next_read().
class planner {
 public:
  planner(const peer_info& self, const std::vector<peer_info>& live,
          const read_situation& situation, base::random_source& random)
      : m_self(self),
        m_live(answering_peers(live, situation.failed_peers)),
        m_situation(situation),
        m_random(random),
        m_order(read_order(self, m_live)),
        m_rank(static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), self.vm) -
                                        m_order.begin())),
        m_reading_domains(find_reading_domains(self, m_live)) {}

  read_step decide() const {
    const bool is_discovering = !m_situation.proof_age && m_situation.uptime < discovery_time;
    const bool reads_now = m_live.empty() ? !is_discovering : is_reader() && !is_discovering;
    if (!m_situation.did_service_fail && (reads_now || is_turn())) {
      return service_source{};
    }
    const bool asks_parent =
        m_situation.proof_age ? !is_overdue() : m_random.uniform() < start_parent_share;
    if (asks_parent && !is_reader()) {
      if (const peer_info* peer = parent()) {
        return peer_question{peer->address, max_hold_time};
      }
    }
    const std::vector<const peer_info*> others = alternatives();
    if (others.empty()) {
      return wait_for_turn{};
    }
    return peer_question{others[m_random.uniform_below(others.size())]->address, {}};
  }

 private:
  bool is_in_reading_domain() const {
    return std::find(m_reading_domains.begin(), m_reading_domains.end(), m_self.failure_domain) !=
           m_reading_domains.end();
  }

  bool is_reader() const { return m_rank == 0 && is_in_reading_domain(); }

  bool is_overdue() const {
    return !m_situation.proof_age || *m_situation.proof_age > m_situation.max_proof_age;
  }

  // Whether a node that is no reader may read the service.
  bool is_turn() const {
    const base::duration age =
        m_situation.proof_age ? *m_situation.proof_age : m_situation.uptime - discovery_time;
    const double turns = static_cast<double>(m_rank) + m_random.uniform();
    const base::duration wait = base::from_seconds(turns * base::to_seconds(turn_length));
    return age - m_situation.max_proof_age > wait &&
           (!m_situation.since_service_failure || *m_situation.since_service_failure > wait);
  }

  const peer_info* parent() const {
    if (m_rank == 0) {
      // Each of the two readers answers about half of the other heads.
      const std::size_t first = base::hash64(m_self.vm) % m_reading_domains.size();
      for (std::size_t i = 0; i < m_reading_domains.size(); ++i) {
        const std::string& domain = m_reading_domains[(first + i) % m_reading_domains.size()];
        if (const peer_info* head = head_of(domain, m_live)) {
          return head;
        }
      }
      return nullptr;
    }
    return find_peer(m_live, m_order[rank_above()]);
  }

  // In the order of the own domain, in which this node is not the first. Lists that differ between
  // nodes make no circle, because the order of any two nodes is the same in all.
  std::size_t rank_above() const {
    if (!m_situation.proof_age) {
      return (m_rank - 1) / start_fan_out;
    }
    return m_rank <= relay_nodes ? 0 : 1 + m_rank % relay_nodes;
  }

  // The nodes that have the newest state first. A node without a state asks all of its domain,
  // because any of these may have got one and has a link of its own.
  std::vector<const peer_info*> alternatives() const {
    const std::size_t count =
        m_situation.proof_age ? std::min(m_order.size(), relay_nodes + 1) : m_order.size();
    std::vector<const peer_info*> found;
    std::set<std::string> domains;
    for (const peer_info& each : m_live) {
      domains.insert(each.failure_domain);
    }
    domains.erase(m_self.failure_domain);
    for (const std::string& domain : domains) {
      if (const peer_info* head = head_of(domain, m_live)) {
        found.push_back(head);
      }
    }
    for (std::size_t i = 0; i < count; ++i) {
      if (const peer_info* peer = find_peer(m_live, m_order[i])) {
        found.push_back(peer);
      }
    }
    return found;
  }

  const peer_info& m_self;
  std::vector<peer_info> m_live;
  const read_situation& m_situation;
  base::random_source& m_random;
  std::vector<std::string> m_order;
  std::size_t m_rank;
  std::vector<std::string> m_reading_domains;
};

}  // namespace

std::vector<std::string> read_order(const peer_info& self, const std::vector<peer_info>& live) {
  std::vector<std::string> names{self.vm};
  for (const peer_info& each : live) {
    if (each.failure_domain == self.failure_domain) {
      names.push_back(each.vm);
    }
  }
  std::vector<std::string> order;
  order.reserve(names.size());
  for (const std::size_t index : base::rendezvous_top(reader_hash_key, names, names.size())) {
    order.push_back(names[index]);
  }
  return order;
}

read_step next_read(const peer_info& self, const std::vector<peer_info>& live,
                    const read_situation& situation, base::random_source& random) {
  return planner(self, live, situation, random).decide();
}

base::duration interval_after(const read_step& last, base::duration interval) {
  return std::holds_alternative<service_source>(last) ? interval
                                                      : std::min(interval, peer_interval);
}

base::duration max_proof_age(const read_pace& pace, base::duration validity) {
  // The proof of the previous read is used until the next read ends.
  const base::duration bound = pace.interval + 2 * pace.read_time + (levels + 1) * response_margin;
  return validity.count() == 0 ? bound : std::min(bound, validity * 3 / 4);
}

base::duration max_read_time(base::duration interval, base::duration validity) {
  if (validity.count() == 0) {
    return unbounded_read_time;
  }
  return std::max(min_read_time, (validity - interval - levels * response_margin) / 2);
}

}  // namespace fuchsiaspring::fleet
