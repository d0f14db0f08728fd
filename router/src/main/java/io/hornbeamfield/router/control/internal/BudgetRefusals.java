package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.ResultCode;

/** Creates the refusals of one budget, each with advice for the caller. */
record BudgetRefusals(String budget) {

    Refusal exhausted() {
        return Refusal.of(
                ResultCode.BUDGET_EXHAUSTED,
                "The budget \"" + budget + "\" has too few tokens left. Ask for a top-up or a smaller answer.");
    }

    Refusal busy() {
        return Refusal.of(
                        ResultCode.BUDGET_BUSY,
                        "The tokens of the budget \"" + budget + "\" are reserved or temporarily unreachable. Retry.")
                .retryAfter(1);
    }

    Refusal absent() {
        return Refusal.of(
                ResultCode.NO_BUDGET, "There is no budget \"" + budget + "\". Ask the operator to grant tokens.");
    }

    Refusal tooManyUnknown() {
        return Refusal.of(
                        ResultCode.BUDGET_BUSY,
                        "The workspace asks for too many budgets that do not exist, so the budget \"" + budget
                                + "\" is not looked up. Use the names of existing budgets.")
                .retryAfter((int) BudgetAccount.UNUSED_ACCOUNT_TTL.toSeconds());
    }

    Refusal leaving() {
        return Refusal.of(ResultCode.LEAVING, "Ask for addresses again and use another router.");
    }

    /**
     * Refuses because an operator released the holder entry of this running router, which may therefore spend no more
     * tokens.
     */
    Refusal released() {
        return Refusal.of(
                        ResultCode.BUDGET_BUSY,
                        "The tokens of the budget \"" + budget + "\" at this router were released. Use another router.")
                .retryAfter(1);
    }
}
