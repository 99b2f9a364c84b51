// Seeded pseudo-random number generator, passed explicitly to the code that uses it.
//
//   base::random_source random(42);
//   if (random.uniform() < 0.1) { ... }
//
// The same seed gives the same sequence on every machine. Not thread-safe; each task owns its own.
#pragma once

#include <cstdint>
#include <random>

namespace fuchsiaspring::base {

class random_source {
 public:
  explicit random_source(std::uint64_t seed) : m_engine(seed) {}

  // A random 64-bit number.
  std::uint64_t next() { return m_engine(); }

  // Uniform in [0, 1).
  double uniform() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }

  // Uniform in [0, bound). `bound` must be positive. The modulo bias is below 2^-32 for bounds
  // under 2^32.
  std::uint64_t uniform_below(std::uint64_t bound) { return m_engine() % bound; }

  // Exponentially distributed with the given mean.
  double exponential(double mean);

  // Log-normally distributed with the given median; `sigma` is the deviation of the logarithm.
  double log_normal(double median, double sigma);

 private:
  std::mt19937_64 m_engine;
};

// A seed from the operating system.
std::uint64_t system_seed();

}  // namespace fuchsiaspring::base
