#include "apps/scheduler/share_codec.h"

#include <variant>

#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::scheduler {
namespace {

void write(const limits::message_id& id, schema::MessageId& target) {
  target.set_incarnation(id.incarnation);
  target.set_sequence(id.sequence);
}

void write(const limits::view_version& view, schema::ShareView& target) {
  target.set_list(view.list);
  target.set_bundle(view.bundle);
}

limits::message_id read(const schema::MessageId& id) {
  return {id.incarnation(), id.sequence()};
}

limits::view_version read(const schema::ShareView& view) {
  return {view.list(), view.bundle()};
}

// Visitor that writes a body to `target`.
struct body_writer {
  schema::ShareMessage& target;

  void operator()(const limits::loan_request& body) const {
    auto& message = *target.mutable_loan_request();
    write(body.id, *message.mutable_id());
    message.mutable_demand_by_tier()->Assign(body.demand_by_tier.begin(),
                                             body.demand_by_tier.end());
    message.set_spare(body.spare);
    message.set_lent(body.lent);
    message.set_held(body.held);
  }
  void operator()(const limits::loan_order& body) const {
    auto& message = *target.mutable_loan_order();
    message.set_borrower(body.borrower);
    write(body.request, *message.mutable_request());
    message.set_credits(body.credits);
    message.set_tier(body.tier);
    message.set_held(body.held);
  }
  void operator()(const limits::loan_grant& body) const {
    auto& message = *target.mutable_loan_grant();
    write(body.request, *message.mutable_request());
    write(body.loan, *message.mutable_loan());
    message.set_credits(body.credits);
    message.set_lease_ms(static_cast<std::uint32_t>(base::to_milliseconds(body.lease)));
  }
  void operator()(const limits::loan_renewal& body) const {
    write(body.request, *target.mutable_loan_renewal()->mutable_request());
    write(body.loan, *target.mutable_loan_renewal()->mutable_loan());
    target.mutable_loan_renewal()->set_held(body.held);
  }
  void operator()(const limits::loan_return& body) const {
    write(body.loan, *target.mutable_loan_return()->mutable_loan());
    target.mutable_loan_return()->set_returned(body.returned);
  }
  void operator()(const limits::loan_recall& body) const {
    auto& message = *target.mutable_loan_recall();
    write(body.request, *message.mutable_request());
    write(body.loan, *message.mutable_loan());
    message.set_credits(body.credits);
    message.set_wanted(body.wanted);
  }
  void operator()(const limits::share_settled& body) const {
    auto& message = *target.mutable_settled();
    write(body.view, *message.mutable_view());
    message.set_incarnation(body.incarnation);
    message.set_round(body.round);
    message.set_fresh(body.fresh);
    message.set_in_force(body.in_force);
    message.set_has_history(body.has_history);
    message.set_witness(body.witness);
    message.mutable_leavers()->Assign(body.leavers.begin(), body.leavers.end());
    message.mutable_newcomers()->Assign(body.newcomers.begin(), body.newcomers.end());
  }
  void operator()(const limits::share_probe& body) const {
    write(body.view, *target.mutable_probe()->mutable_view());
    target.mutable_probe()->set_round(body.round);
  }
  void operator()(const limits::share_in_force& body) const {
    write(body.view, *target.mutable_in_force()->mutable_view());
    target.mutable_in_force()->set_incarnation(body.incarnation);
    target.mutable_in_force()->set_full_start(body.full_start);
  }
  void operator()(const limits::loan_inquiry_request& body) const {
    write(body.view, *target.mutable_loan_inquiry()->mutable_view());
    target.mutable_loan_inquiry()->set_incarnation(body.incarnation);
  }
  void operator()(const limits::loan_statement& body) const {
    auto& message = *target.mutable_loan_statement();
    write(body.view, *message.mutable_view());
    message.set_incarnation(body.incarnation);
    message.set_open(body.open);
    message.set_knows_departed(body.knows_departed);
    message.mutable_departed()->Assign(body.departed.begin(), body.departed.end());
  }
};

limits::loan_request read(const schema::LoanRequest& message) {
  return {.id = read(message.id()),
          .demand_by_tier = {message.demand_by_tier().begin(), message.demand_by_tier().end()},
          .spare = message.spare(),
          .lent = message.lent(),
          .held = message.held()};
}

limits::loan_order read(const schema::LoanOrder& message) {
  return {.borrower = message.borrower(),
          .request = read(message.request()),
          .credits = message.credits(),
          .tier = message.tier(),
          .held = message.held()};
}

limits::loan_grant read(const schema::LoanGrant& message) {
  return {.request = read(message.request()),
          .loan = read(message.loan()),
          .credits = message.credits(),
          .lease = std::chrono::milliseconds(message.lease_ms())};
}

limits::loan_recall read(const schema::LoanRecall& message) {
  return {.request = read(message.request()),
          .loan = read(message.loan()),
          .credits = message.credits(),
          .wanted = message.wanted()};
}

limits::loan_statement read(const schema::LoanStatement& message) {
  return {.view = read(message.view()),
          .incarnation = message.incarnation(),
          .open = message.open(),
          .knows_departed = message.knows_departed(),
          .departed = {message.departed().begin(), message.departed().end()}};
}

limits::share_settled read(const schema::ShareSettled& message) {
  return {.view = read(message.view()),
          .incarnation = message.incarnation(),
          .round = message.round(),
          .fresh = message.fresh(),
          .in_force = message.in_force(),
          .has_history = message.has_history(),
          .witness = message.witness(),
          .leavers = {message.leavers().begin(), message.leavers().end()},
          .newcomers = {message.newcomers().begin(), message.newcomers().end()}};
}

}  // namespace

schema::ShareMessage encode(const std::string& upstream, const std::string& sender_vm,
                            const limits::share_message& body) {
  schema::ShareMessage message;
  message.set_upstream(upstream);
  message.set_sender_vm(sender_vm);
  std::visit(body_writer{message}, body);
  return message;
}

std::optional<limits::share_message> decode(const schema::ShareMessage& message) {
  switch (message.body_case()) {
    case schema::ShareMessage::kLoanRequest:
      return read(message.loan_request());
    case schema::ShareMessage::kLoanOrder:
      return read(message.loan_order());
    case schema::ShareMessage::kLoanGrant:
      return read(message.loan_grant());
    case schema::ShareMessage::kLoanRenewal:
      return limits::loan_renewal{read(message.loan_renewal().request()),
                                  read(message.loan_renewal().loan()),
                                  message.loan_renewal().held()};
    case schema::ShareMessage::kLoanReturn:
      return limits::loan_return{read(message.loan_return().loan()),
                                 message.loan_return().returned()};
    case schema::ShareMessage::kLoanRecall:
      return read(message.loan_recall());
    case schema::ShareMessage::kSettled:
      return read(message.settled());
    case schema::ShareMessage::kProbe:
      return limits::share_probe{read(message.probe().view()), message.probe().round()};
    case schema::ShareMessage::kInForce:
      return limits::share_in_force{read(message.in_force().view()),
                                    message.in_force().incarnation(),
                                    message.in_force().full_start()};
    case schema::ShareMessage::kLoanInquiry:
      return limits::loan_inquiry_request{read(message.loan_inquiry().view()),
                                          message.loan_inquiry().incarnation()};
    case schema::ShareMessage::kLoanStatement:
      return read(message.loan_statement());
    case schema::ShareMessage::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace fuchsiaspring::scheduler
