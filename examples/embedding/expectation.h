// Checks of the example programs.
//
//   expectation check;
//   check.that(queue.size() == 2, "two requests are queued");
//   return check.exit_status();   // 0 only if every check held
#pragma once

#include <iostream>
#include <string_view>

class expectation {
 public:
  // Prints `claim` and whether it holds.
  void that(bool holds, std::string_view claim) {
    std::cout << (holds ? "ok: " : "FAILED: ") << claim << "\n";
    m_all_hold = m_all_hold && holds;
  }
  int exit_status() const { return m_all_hold ? 0 : 1; }

 private:
  bool m_all_hold = true;
};
