#include "fuchsiaspring/catalog/out_of_service.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace fuchsiaspring::catalog {
namespace {

namespace fs = std::filesystem;

const std::string layout =
    "# pools of the region\n"
    "pools:\n"
    "  - name: engines  # replaced on Fridays\n"
    "    upstreams:\n"
    "      # first rack\n"
    "      - address: 10.0.0.1:80\n"
    "        name: \"e1\"   # has the new firmware\n"
    "        limit: 8\n"
    "      - {name: e2, address: '10.0.0.2:80', out_of_service: false}  # small\n"
    "      - {name: 'e3'}\n"
    "failure_domains:\n"
    "- name: a\n"
    "  out_of_service: true   # until the switch is replaced\n"
    "vms: [{name: a}]";

class out_of_service_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(out_of_service_test);
  CPPUNIT_TEST(only_the_flag_of_the_object_changes);
  CPPUNIT_TEST(repeated_edit_changes_nothing);
  CPPUNIT_TEST(layout_without_safe_edit_is_refused);
  CPPUNIT_TEST(only_the_file_of_the_object_is_replaced);
  CPPUNIT_TEST_SUITE_END();

  static void expect(service_object_kind kind, const std::string& name, bool value,
                     const std::string& from, const std::string& to) {
    std::string expected = layout;
    expected.replace(expected.find(from), from.size(), to);
    const auto edited = edit_out_of_service_flag(layout, kind, name, value);
    CPPUNIT_ASSERT_MESSAGE(edited ? "" : edited.error().message, edited.has_value());
    CPPUNIT_ASSERT_EQUAL(expected, *edited.value());
  }

  // Guards against lost comments and against changing an object of another kind with the same name.
  void only_the_flag_of_the_object_changes() {
    expect(service_object_kind::upstream, "e1", true, "firmware\n",
           "firmware\n        out_of_service: true\n");
    expect(service_object_kind::upstream, "e2", true, "out_of_service: false",
           "out_of_service: true");
    expect(service_object_kind::upstream, "e3", true, "{name: 'e3'}",
           "{name: 'e3', out_of_service: true}");
    expect(service_object_kind::domain, "a", false, "true   # until", "false   # until");
    expect(service_object_kind::vm, "a", true, "[{name: a}]", "[{name: a, out_of_service: true}]");
    const std::string windows = "vms:\r\n- name: v\r\n  failure_domain: a\r\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("vms:\r\n- name: v\r\n  out_of_service: true\r\n  failure_domain: a\r\n"),
        *edit_out_of_service_flag(windows, service_object_kind::vm, "v", true).value());
    CPPUNIT_ASSERT_EQUAL(std::string("\xEF\xBB\xBFvms: [{name: v, out_of_service: true}]"),
                         *edit_out_of_service_flag("\xEF\xBB\xBFvms: [{name: v}]",
                                                   service_object_kind::vm, "v", true)
                              .value());
    CPPUNIT_ASSERT_EQUAL(
        std::string("vms:\n- name: v\n  out_of_service: true"),
        *edit_out_of_service_flag("vms:\n- name: v", service_object_kind::vm, "v", true).value());
  }

  void repeated_edit_changes_nothing() {
    CPPUNIT_ASSERT_EQUAL(
        layout, *edit_out_of_service_flag(layout, service_object_kind::domain, "a", true).value());
    CPPUNIT_ASSERT_EQUAL(
        layout,
        *edit_out_of_service_flag(layout, service_object_kind::upstream, "e1", false).value());
    CPPUNIT_ASSERT(
        !edit_out_of_service_flag(layout, service_object_kind::upstream, "a", true).value());
    CPPUNIT_ASSERT(!edit_out_of_service_flag("", service_object_kind::vm, "a", true).value());
  }

  // Guards against an edit that changes two objects or damages the file.
  void layout_without_safe_edit_is_refused() {
    for (const char* text :
         {"vms:\n- &v {name: v}\n- *v\n",                               // both would change
          "vms:\n- name: >\n    v\n",                                   // folded text
          "vms:\n- name: v\n  out_of_service:\n  failure_domain: a\n",  // no value
          "vms:\n- name: v\n  out_of_service: &m false\n- {name: w, out_of_service: *m}\n"}) {
      const auto edited = edit_out_of_service_flag(text, service_object_kind::vm, "v", true);
      CPPUNIT_ASSERT_MESSAGE(text, !edited || !edited.value());
    }
    CPPUNIT_ASSERT(
        edit_out_of_service_flag("vms: [", service_object_kind::vm, "v", true).error().code ==
        base::error_code::invalid_argument);
  }

  void only_the_file_of_the_object_is_replaced() {
    const fs::path directory = fs::temp_directory_path() / ("marks_" + std::to_string(getpid()));
    fs::create_directories(directory);
    std::ofstream(directory / "1.yaml") << "vms: [{name: v}]\n";
    std::ofstream(directory / "2.yaml") << layout;
    fs::permissions(directory / "2.yaml", fs::perms::owner_read | fs::perms::owner_write);
    const auto changed = set_out_of_service(directory, service_object_kind::upstream, "e2", true);
    CPPUNIT_ASSERT(changed.value() == directory / "2.yaml");
    CPPUNIT_ASSERT(fs::status(directory / "2.yaml").permissions() ==
                   (fs::perms::owner_read | fs::perms::owner_write));
    CPPUNIT_ASSERT(
        !set_out_of_service(directory, service_object_kind::upstream, "e2", true).value());
    CPPUNIT_ASSERT(
        set_out_of_service(directory, service_object_kind::upstream, "e9", true).error().code ==
        base::error_code::not_found);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, std::distance(fs::directory_iterator(directory), {}));
    fs::remove_all(directory);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(out_of_service_test);

}  // namespace
}  // namespace fuchsiaspring::catalog
