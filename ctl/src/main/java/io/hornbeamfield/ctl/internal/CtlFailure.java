package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;

/** Ends a command with a numbered refusal. */
public final class CtlFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final ResultCode code;

    public CtlFailure(ResultCode code, String detail) {
        super(detail);
        this.code = code;
    }

    public CtlFailure(Refusal refusal) {
        this(refusal.code(), refusal.detail());
    }

    /** Returns the numbered reason. */
    public ResultCode code() {
        return code;
    }
}
