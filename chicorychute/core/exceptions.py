"""Base of the product's typed errors."""


class ChuteError(Exception):
    """Error whose message names what is wrong and the remedy.

    Parameters
    ----------
    message : str
        What is wrong.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}: {remedy}")
        self.message = message
        self.remedy = remedy
