// Runs every registered CppUnit suite and ends with the line "NAME: N passed, N failed", which
// scripts/test.sh reads. An argument is the path of the only suite or test to run.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <filesystem>
#include <iostream>

int main(int argc, char** argv) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int failed = collector.testFailuresTotal();
  const int passed = collector.runTests() - failed;
  std::cout << std::filesystem::path(argv[0]).filename().string() << ": " << passed << " passed, "
            << failed << " failed" << std::endl;
  return collector.wasSuccessful() ? 0 : 1;
}
