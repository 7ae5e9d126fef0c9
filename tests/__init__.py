import os

# The matrices are small and each core runs a test: threads of the linear algebra would only wait for each other.
os.environ.setdefault("OMP_NUM_THREADS", "1")
os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
