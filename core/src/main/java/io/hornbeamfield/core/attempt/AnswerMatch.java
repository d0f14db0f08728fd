package io.hornbeamfield.core.attempt;

/** Whether an answer belongs to the request in flight on its connection. */
public enum AnswerMatch {
    /** The answer belongs to the request. */
    OWN,
    /** The answer belongs to another request. */
    OTHER,
    /** The answer may be a late copy of an answer to an earlier request on the same connection. */
    UNPROVEN;

    /**
     * Compares the id in an answer with that of the request.
     *
     * @param requestId id of the request, empty if its caller gave none
     * @param answeredId id in the answer, empty if there is none
     * @param connectionReused whether the connection has carried an earlier request
     */
    public static AnswerMatch of(String requestId, String answeredId, boolean connectionReused) {
        if (requestId.equals(answeredId)) {
            return OWN;
        }
        if (!answeredId.isEmpty()) {
            return OTHER;
        }
        return connectionReused ? UNPROVEN : OWN;
    }
}
