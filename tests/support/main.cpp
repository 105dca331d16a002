#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

int main() {
  CppUnit::TextUi::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), CppUnit::stdCErr()));
  return Runner.run() ? 0 : 1;
}
