package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;

/** Aborts a command with a result code and a message for the operator. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final ResultCode code;

    public CommandException(ResultCode code, String detail) {
        super(detail);
        this.code = code;
    }

    public CommandException(Refusal refusal) {
        this(refusal.code(), refusal.detail());
    }

    /** Returns the result code, from which the exit status follows. */
    public ResultCode code() {
        return code;
    }
}
