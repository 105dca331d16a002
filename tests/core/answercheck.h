#ifndef NUTMEGLOOM_TESTS_CORE_ANSWERCHECK_H
#define NUTMEGLOOM_TESTS_CORE_ANSWERCHECK_H

#include "core/messages.h"

#include <cppunit/TestAssert.h>

namespace nutmegloom {

/// Asserts the outcome and the error code of an answer. A failure shows the
/// answer's detail.
inline void checkAnswer(const CallerAnswer &Answer, Outcome Result,
                        ErrorCode Error) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Answer.Detail,
                               std::string(nameOf(Result)) + "/" +
                                   std::string(nameOf(Error)),
                               std::string(nameOf(Answer.Result)) + "/" +
                                   std::string(nameOf(Answer.Error)));
}

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_ANSWERCHECK_H
