"""What the version before gangs stores and sends, as it decodes it: see ``records.py``."""
