// Seeds of the soak that found a fault once, each with its cause; node_soak --regressions 1 runs
// them.
//
// How faults and requests interleave depends on the machine, so a seed that passes proves less than
// a test of its own; each cause has one where that is possible.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace fuchsiaspring::soak {

struct regression_seed {
  std::uint64_t seed = 0;
  std::chrono::seconds length{};
  const char* cause = "";
};

inline constexpr std::array regression_seeds{
    regression_seed{237, std::chrono::seconds(15), "a node was not ready 6 s after the faults"},
    regression_seed{6101, std::chrono::seconds(15),
                    "a stream was given up as stalled shortly before its timeout"},
    regression_seed{6200, std::chrono::seconds(15),
                    "the soak sent SIGHUP to a node that was suspended before its main()"},
    regression_seed{7003, std::chrono::seconds(15),
                    "the soak expected a whole response from a replica that had ended"},
    regression_seed{7110, std::chrono::seconds(15),
                    "a relay of the soak dropped bytes in the middle of a connection"},
    regression_seed{7004, std::chrono::seconds(15),
                    "a stream whose replica paused was given up, and the second replica failed"},
    regression_seed{
        7106, std::chrono::seconds(15),
        "a stream whose replica paused was given up, and the second replica answered 500"},
    regression_seed{
        4202, std::chrono::seconds(15),
        "the copy of a refusal without an id was taken for the refusal of the next request"},
};

}  // namespace fuchsiaspring::soak
