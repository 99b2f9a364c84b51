// A part of a prompt that crashes replicas comes back every 16 s.
//
// Sound requests of a route whose streams may not be resumed run on the same replicas meanwhile.
#include "prompt_fleet.h"

namespace {

using namespace review;

constexpr double stability_window_s = 3;
constexpr double first_poison_s = 4;
constexpr double poison_interval_s = 16;
constexpr double end_s = 104;
constexpr double sound_interval_s = 0.25;

int run(record& log) {
  prompt_fleet fleet({.events = 12, .event_gap_s = 0.25}, log);
  if (!fleet.wait_until_ready()) {
    log.line("the case could not run");
    return 2;
  }
  double next_poison = first_poison_s;
  while (now_s() < end_s) {
    fleet.send("a1:800,b1:410," + fleet.own_part(), false, "/once/1");
    if (now_s() >= next_poison) {
      fleet.send("a1:800,b1:410," + std::string(prompt_fleet::poison_part) + ":300," +
                     fleet.own_part(),
                 true);
      next_poison += poison_interval_s;
    }
    sleep_s(sound_interval_s);
  }
  fleet.join_calls();
  const std::vector<double> crashes = fleet.crashes();
  const auto late = late_poison_arrivals(fleet, stability_window_s);
  log.line("crashes %zu, the fifth at %.3f s; sound requests begun and lost: %d",
           crashes.size(), crashes.size() < 5 ? 0.0 : crashes[4], fleet.sound_lost());
  for (const prompt_arrival& each : late) {
    log.line("reached a replica later than 3 s after the fifth crash: %s at %.3f s, replica %s",
             each.request_id.c_str(), each.at, each.replica_id.c_str());
  }
  constexpr std::size_t allowed = 3;
  return log.verdict(late.size() > allowed,
                     std::to_string(late.size()) +
                         " requests with the part reached replicas later than 3 s after the fifth "
                         "crash (3 are allowed); " +
                         std::to_string(crashes.size()) + " crashes, " +
                         std::to_string(fleet.sound_lost()) + " sound requests lost by them");
}

}  // namespace

int main(int, char** arguments) {
  record log(arguments[1]);
  return run(log);
}
