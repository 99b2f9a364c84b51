// A part in the middle of the prompt crashes replicas; the shared part behind it is sound.
//
// Sound requests have the parts A and B, harmful ones A, the harmful part and B, each with a last
// part of its own. Sound answers take 3 s.
#include "prompt_fleet.hpp"

namespace {

using namespace review;

constexpr double stability_window_s = 3;
constexpr double first_poison_s = 8;
constexpr double poison_interval_s = 0.45;
constexpr double end_s = 28;
constexpr double sound_interval_s = 0.2;

int run(record& log) {
  prompt_fleet fleet({.events = 12, .event_gap_s = 0.25}, log);
  if (!fleet.wait_until_ready()) {
    log.line("the case could not run");
    return 2;
  }
  double next_poison = first_poison_s;
  while (now_s() < end_s) {
    fleet.send("a1:800,b1:410," + fleet.own_part(), false);
    if (now_s() >= next_poison) {
      fleet.send(
          "a1:800," + std::string(prompt_fleet::poison_part) + ":300,b1:410," + fleet.own_part(),
          true);
      next_poison += poison_interval_s;
    }
    sleep_s(sound_interval_s);
  }
  fleet.join_calls();
  const std::vector<double> crashes = fleet.crashes();
  const double judged_crash =
      crashes.empty() ? first_poison_s : crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
  const double from = judged_crash + 2 * stability_window_s;
  const auto before = fleet.sound_begun(3, first_poison_s);
  const auto after = fleet.sound_begun(from, next_poison - poison_interval_s);
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    log.line("crash %zu at %.3f s", i + 1, crashes[i]);
  }
  log.line("sound requests before: sent %d, begun %d; from %.3f s on: sent %d, begun %d",
           before.sent, before.begun, from, after.sent, after.begun);
  constexpr int min_requests = 20;
  const bool is_broken = before.sent >= min_requests && after.sent >= min_requests &&
                         after.share() < before.share() / 2;
  return log.verdict(
      is_broken,
      "sound requests of the same key and first part that began: " + std::to_string(before.begun) +
          " of " + std::to_string(before.sent) + " before, " + std::to_string(after.begun) +
          " of " + std::to_string(after.sent) + " from 6 s after the fifth crash on; " +
          std::to_string(crashes.size()) + " crashes");
}

}  // namespace

int main(int, char** arguments) {
  record log(arguments[1]);
  return run(log);
}
