package io.hornbeamfield.router.traffic.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;

/** Leaves the checks of a request at the first one that fails. */
final class Checked extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    private Checked(Refusal refusal) {
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    static Checked refused(ResultCode code, String detail) {
        return new Checked(Refusal.of(code, detail));
    }

    static Checked malformed(String detail) {
        return refused(ResultCode.MALFORMED_REQUEST, detail);
    }

    static Checked refused(Refusal refusal) {
        return new Checked(refusal);
    }

    Refusal refusal() {
        return refusal;
    }
}
