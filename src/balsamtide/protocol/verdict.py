"""The outcome of a request as far as execution on a target is concerned."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Whether a request ran on a target.

    ``NOT_RUN`` is a promise: no target started the request and none will.
    ``RAN`` says that the target answered.  ``MAY_HAVE_RUN`` is every case in
    between, and the only verdict allowed to a party that is unsure.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"

    def is_retry_safe(self, *, is_idempotent: bool) -> bool:
        """Tell whether a request with this verdict can be sent again.

        Parameters
        ----------
        is_idempotent : bool
            Whether running the request twice equals running it once.
        """
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and is_idempotent
