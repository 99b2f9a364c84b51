// Linear model of the time to the first token, by the prompt tokens to prefill before it.
//
//   model.observe(4200, 110);            // 110 ms after 4,200 tokens
//   double expected = model.expect(3000);
//
// A least-squares fit whose samples lose weight exponentially. Until there are enough samples, the
// model has the coefficients of a large engine.
#pragma once

namespace fuchsiaspring::placement::internal {

class first_token_model {
 public:
  // Expected time in ms until the first token after `tokens` prompt tokens.
  double expect(double tokens) const { return m_base_ms + tokens * m_ms_per_token; }

  double ms_per_token() const { return m_ms_per_token; }

  void observe(double tokens, double elapsed_ms);

 private:
  void fit();

  double m_base_ms = 15;
  double m_ms_per_token = 0.02;
  double m_weight = 0;
  double m_sum_x = 0;
  double m_sum_y = 0;
  double m_sum_xx = 0;
  double m_sum_xy = 0;
};

}  // namespace fuchsiaspring::placement::internal
